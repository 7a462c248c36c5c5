package gingerspool.handover;

/**
 * State machine that decides which of two scheduler processes serves the clients; it does no I/O. A
 * process requests the state of its predecessor (if the hand-over file names one), asks it to
 * retire, and binds; later a successor may do the same with this process. Each input is a method
 * that returns the action to carry out. An input that is not expected in the present state changes
 * nothing and returns {@link Action#NONE} or {@link Action#REFUSE}.
 *
 * <p>Thread: the event loop. Called by {@link Handover} and {@link CommandPropagation}.
 */
final class Succession {
    /** How far the takeover from the predecessor has come. */
    enum PredecessorState {
        /** There is no predecessor, or it is gone. */
        NONE,
        STATE_REQUESTED,
        RETIREMENT_REQUESTED,
        /** It has retired and still runs, to finish its tasks. */
        RETIRED
    }

    /** How far the hand-over to the successor has come. */
    enum SuccessorState {
        /** There is no successor, or it is gone. */
        NONE,
        /** It was sent the state. */
        JOINED,
        /** This process has retired in its favour. */
        TAKEN_OVER
    }

    /** What the caller carries out after an input. */
    enum Action {
        NONE,
        /** Request the predecessor's state. */
        REQUEST_STATE,
        /** Use the state that was received, and ask the predecessor to retire. */
        REQUEST_RETIREMENT,
        /** Adopt the suspended workers that the hand-over file lists, bind and serve. */
        SERVE_ALONE,
        /**
         * Bind and serve, then claim all new connections; the predecessor runs on until its tasks
         * have ended.
         */
        SERVE,
        /** Send the state to the successor. */
        SEND_STATE,
        /** Stop serving new clients: the successor takes over and is about to listen. */
        RETIRE,
        /** Close the listener once no more connections arrive: the successor listens. */
        CLOSE_LISTENER,
        /** Serve clients again: the successor is gone. */
        RESUME_SERVING,
        /**
         * Refuse the request: this process has no state to give, or the caller is not the latest to
         * have requested it or has missed a command.
         */
        REFUSE
    }

    private PredecessorState predecessorState = PredecessorState.NONE;
    private SuccessorState successorState = SuccessorState.NONE;
    private boolean serving;

    /** Commands sent to the successor since it was sent the state. */
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

    /** The process starts; whether it has a predecessor is not known yet. */
    Action begin() {
        predecessorState = PredecessorState.STATE_REQUESTED;
        return Action.REQUEST_STATE;
    }

    /** The predecessor's state was received. */
    Action stateReceived() {
        if (predecessorState != PredecessorState.STATE_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.RETIREMENT_REQUESTED;
        return Action.REQUEST_RETIREMENT;
    }

    /** The predecessor has sent no state, or none in time, or there is no predecessor. */
    Action stateUnavailable() {
        if (predecessorState != PredecessorState.STATE_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.NONE;
        serving = true;
        return Action.SERVE_ALONE;
    }

    /** The predecessor has retired. */
    Action predecessorRetired() {
        if (predecessorState != PredecessorState.RETIREMENT_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.RETIRED;
        serving = true;
        return Action.SERVE;
    }

    /** The predecessor refuses to retire yet: this process has missed commands since its state. */
    Action retirementRefused() {
        if (predecessorState != PredecessorState.RETIREMENT_REQUESTED) {
            return Action.NONE;
        }
        predecessorState = PredecessorState.STATE_REQUESTED;
        return Action.REQUEST_STATE;
    }

    /** The predecessor has ended or no longer answers. */
    Action predecessorGone() {
        PredecessorState previous = predecessorState;
        predecessorState = PredecessorState.NONE;
        boolean wasNotServing = !serving;
        serving = true;
        return previous == PredecessorState.RETIREMENT_REQUESTED && wasNotServing
                ? Action.SERVE
                : previous == PredecessorState.STATE_REQUESTED ? Action.SERVE_ALONE : Action.NONE;
    }

    /** The process at this address requests the state; the latest to do so is the successor. */
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
     * Counts an operator's command that a successor must receive; returns whether there is a
     * successor to send it to.
     */
    boolean countCommandForSuccessor() {
        if (successorState == SuccessorState.NONE) {
            return false;
        }
        commandsSent++;
        return true;
    }

    /**
     * The process at this address asks this one to retire.
     *
     * @param commands how many commands it has applied since it received the state
     */
    Action retirementRequested(String address, long commands) {
        if (successorState != SuccessorState.JOINED
                || !address.equals(successorAddress)
                || !hasSent(commands)) {
            return Action.REFUSE;
        }
        successorState = SuccessorState.TAKEN_OVER;
        return Action.RETIRE;
    }

    /**
     * Whether the process at this address has taken over already: its request may be a repeated
     * one, as any call may be sent twice.
     */
    boolean hasTakenOver(String address) {
        return successorState == SuccessorState.TAKEN_OVER && address.equals(successorAddress);
    }

    /** The process at this address listens for clients. */
    Action successorListening(String address) {
        return successorState == SuccessorState.TAKEN_OVER && address.equals(successorAddress)
                ? Action.CLOSE_LISTENER
                : Action.NONE;
    }

    /**
     * Whether exactly this many commands were sent to the successor since it was sent the state.
     */
    boolean hasSent(long commands) {
        return commands == commandsSent;
    }

    /** The process at this address is gone. */
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
