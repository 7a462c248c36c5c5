package gingerspool.dispatch;

/** How an assignment ended. */
public enum Outcome {
    OK,
    ERROR,
    /** The worker refused the task for lack of room. */
    FULL,
    TIMEOUT,
    /** No connection to the worker. */
    UNREACHABLE,
    /** The connection broke; the task may have run. */
    RESET,
    CANCELLED,
    /** It was never sent, or withdrawn before its first byte was sent. */
    MOOT;

    /** Whether this outcome proves that the task never ran. */
    public boolean neverRan() {
        return this == FULL || this == UNREACHABLE || this == MOOT;
    }
}
