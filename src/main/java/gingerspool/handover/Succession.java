package gingerspool.handover;

/**
 * Which of two processes has the clients, without I/O. A process asks the one before it (if a file
 * names one) for its state, takes over, and binds; later one after it may do the same. Each input
 * is a call that returns what is to be done; what is not said by the rules below changes nothing.
 */
final class Succession {
    /**
     * Towards the process before: no such, asked for its state, asked to retire, lives on beside.
     */
    enum PredecessorState {
        NONE,
        STATE_REQUESTED,
        RETIREMENT_REQUESTED,
        RETIRED
    }

    /** Towards the one after: no such, it has the state, it has the clients. */
    enum SuccessorState {
        NONE,
        JOINED,
        TAKEN_OVER
    }

    /** What is to be done. */
    enum Action {
        /** Nothing. */
        NONE,
        /** Ask the process before this one for its state. */
        REQUEST_STATE,
        /** Use the state that came, and ask the one before to retire. */
        REQUEST_RETIREMENT,
        /** Use the file's bans, bind and serve. */
        SERVE_ALONE,
        /**
         * Bind and serve, then have all new connections; the process before this one lives on until
         * it has ended what it has.
         */
        SERVE,
        /** Tell the process after this one the state. */
        SEND_STATE,
        /** The process after this one has the clients, and is about to listen. */
        RETIRE,
        /** The process after this one listens: stop once no connection comes here any more. */
        CLOSE_LISTENER,
        /** Take clients again: the process after this one is gone. */
        RESUME_SERVING,
        /** Say no: it has not had every command, or is not the latest to ask. */
        REFUSE
    }

    private PredecessorState predecessorState = PredecessorState.NONE;
    private SuccessorState successorState = SuccessorState.NONE;
    private boolean serving;

    /** Commands told to the process after this one since it had the state. */
    private long commandsSent;

    private String successorAddress = "";

    PredecessorState predecessorState() {
        return predecessorState;
    }

    SuccessorState successorState() {
        return successorState;
    }

    boolean isServing() {
        return serving;
    }

    /** The process starts, perhaps after another one. */
    Action begin() {
        predecessorState = PredecessorState.STATE_REQUESTED;
        return Action.REQUEST_STATE;
    }

    /** The state came from the one before. */
    Action stateReceived() {
        if (predecessorState != PredecessorState.STATE_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.RETIREMENT_REQUESTED;
        return Action.REQUEST_RETIREMENT;
    }

    /** The one before has no state to tell, or none in time. */
    Action stateUnavailable() {
        if (predecessorState != PredecessorState.STATE_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.NONE;
        serving = true;
        return Action.SERVE_ALONE;
    }

    /** The one before has retired. */
    Action predecessorRetired() {
        if (predecessorState != PredecessorState.RETIREMENT_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.RETIRED;
        serving = true;
        return Action.SERVE;
    }

    /** The one before will not retire yet: commands have passed since the state was told. */
    Action retirementRefused() {
        if (predecessorState != PredecessorState.RETIREMENT_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.STATE_REQUESTED;
        return Action.REQUEST_STATE;
    }

    /** The one before has ended, or says nothing any more. */
    Action predecessorGone() {
        PredecessorState previous = predecessorState;
        predecessorState = PredecessorState.NONE;
        boolean wasNotServing = !serving;
        serving = true;
        return previous == PredecessorState.RETIREMENT_REQUESTED && wasNotServing
                ? Action.SERVE
                : previous == PredecessorState.STATE_REQUESTED ? Action.SERVE_ALONE : Action.NONE;
    }

    /** Another process asks for the state; the latest to ask is the successor. */
    Action stateRequested(String address) {
        if (!serving || successorState == SuccessorState.TAKEN_OVER) {
            return Action.REFUSE;
        }
        successorState = SuccessorState.JOINED;
        successorAddress = address;
        commandsSent = 0;
        return Action.SEND_STATE;
    }

    /**
     * An operator's command came that the successor must have; tells whether there is one to tell.
     */
    boolean countCommandForSuccessor() {
        if (successorState == SuccessorState.NONE) {
            return false;
        }
        commandsSent++;
        return true;
    }

    /** The successor asks us to retire; it has had so many commands since the state. */
    Action retirementRequested(String address, long commands) {
        if (successorState != SuccessorState.JOINED
                || !address.equals(successorAddress)
                || !hasSent(commands)) {
            return Action.REFUSE;
        }
        successorState = SuccessorState.TAKEN_OVER;
        return Action.RETIRE;
    }

    /** Whether this one has the clients already: its call was made twice, as any call may be. */
    boolean hasTakenOver(String address) {
        return successorState == SuccessorState.TAKEN_OVER && address.equals(successorAddress);
    }

    /** The successor listens for clients. */
    Action successorListening(String address) {
        return successorState == SuccessorState.TAKEN_OVER && address.equals(successorAddress)
                ? Action.CLOSE_LISTENER
                : Action.NONE;
    }

    /** Whether just so many commands were told. */
    boolean hasSent(long commands) {
        return commands == commandsSent;
    }

    /** The successor is gone. */
    Action successorGone(String address) {
        if (successorState == SuccessorState.NONE || !address.equals(successorAddress)) {
            return Action.NONE;
        }
        boolean hadTakenOver = successorState == SuccessorState.TAKEN_OVER;
        successorState = SuccessorState.NONE;
        successorAddress = "";
        return hadTakenOver ? Action.RESUME_SERVING : Action.NONE;
    }
}
