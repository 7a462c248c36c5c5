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
    enum Before {
        NONE,
        ASKED,
        TAKING,
        BESIDE
    }

    /** Towards the one after: no such, it has the state, it has the clients. */
    enum After {
        NONE,
        JOINED,
        SUCCEEDED
    }

    /** What is to be done. */
    enum Action {
        /** Nothing. */
        NONE,
        /** Ask the process before this one for its state. */
        ASK,
        /** Use the state that came, and ask the one before to retire. */
        TAKE,
        /** Use the file's bans, bind and serve. */
        SERVE_ALONE,
        /**
         * Bind and serve, then have all new connections; the process before this one lives on until
         * it has ended what it has.
         */
        SERVE,
        /** Tell the process after this one the state. */
        TELL,
        /** The process after this one has the clients, and is about to listen. */
        RETIRE,
        /** The process after this one listens: stop once no connection comes here any more. */
        CLOSE,
        /** Take clients again: the process after this one is gone. */
        TAKE_BACK,
        /** Say no: it has not had every command, or is not the latest to ask. */
        REFUSE
    }

    private Before before = Before.NONE;
    private After after = After.NONE;
    private boolean serving;

    /** Commands told to the process after this one since it had the state. */
    private long told;

    private String successor = "";

    Before before() {
        return before;
    }

    After after() {
        return after;
    }

    boolean isServing() {
        return serving;
    }

    /** The process starts, perhaps after another one. */
    Action begin() {
        before = Before.ASKED;
        return Action.ASK;
    }

    /** The state came from the one before. */
    Action stateCame() {
        if (before != Before.ASKED) {
            return Action.NONE;
        }
        before = Before.TAKING;
        return Action.TAKE;
    }

    /** The one before has no state to tell, or none in time. */
    Action stateFailed() {
        if (before != Before.ASKED) {
            return Action.NONE;
        }
        before = Before.NONE;
        serving = true;
        return Action.SERVE_ALONE;
    }

    /** The one before has retired. */
    Action retired() {
        if (before != Before.TAKING) {
            return Action.NONE;
        }
        before = Before.BESIDE;
        serving = true;
        return Action.SERVE;
    }

    /** The one before will not retire yet: commands have passed since the state was told. */
    Action refused() {
        if (before != Before.TAKING) {
            return Action.NONE;
        }
        before = Before.ASKED;
        return Action.ASK;
    }

    /** The one before has ended, or says nothing any more. */
    Action beforeGone() {
        Before was = before;
        before = Before.NONE;
        boolean first = !serving;
        serving = true;
        return was == Before.TAKING && first
                ? Action.SERVE
                : was == Before.ASKED ? Action.SERVE_ALONE : Action.NONE;
    }

    /** Another process asks for the state; the latest to ask is the successor. */
    Action asked(String who) {
        if (!serving || after == After.SUCCEEDED) {
            return Action.REFUSE;
        }
        after = After.JOINED;
        successor = who;
        told = 0;
        return Action.TELL;
    }

    /**
     * An operator's command came that the successor must have; tells whether there is one to tell.
     */
    boolean commandToldAfter() {
        if (after == After.NONE) {
            return false;
        }
        told++;
        return true;
    }

    /** The successor asks us to retire; it has had so many commands since the state. */
    Action asksToTake(String who, long commands) {
        if (after != After.JOINED || !who.equals(successor) || !counted(commands)) {
            return Action.REFUSE;
        }
        after = After.SUCCEEDED;
        return Action.RETIRE;
    }

    /** Whether this one has the clients already: its call was made twice, as any call may be. */
    boolean hasTaken(String who) {
        return after == After.SUCCEEDED && who.equals(successor);
    }

    /** The successor listens for clients. */
    Action bound(String who) {
        return after == After.SUCCEEDED && who.equals(successor) ? Action.CLOSE : Action.NONE;
    }

    /** Whether just so many commands were told. */
    boolean counted(long commands) {
        return commands == told;
    }

    /** The successor is gone. */
    Action successorGone(String who) {
        if (after == After.NONE || !who.equals(successor)) {
            return Action.NONE;
        }
        boolean had = after == After.SUCCEEDED;
        after = After.NONE;
        successor = "";
        return had ? Action.TAKE_BACK : Action.NONE;
    }
}
