package gingerspool.handover;

/** HTTP statuses with which hand-over calls between two processes end. */
final class CallStatus {
    /** No HTTP status: the call failed or was not answered in time. */
    static final int NO_ANSWER = 0;

    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int GONE = 410;
    static final int UNAVAILABLE = 503;

    private CallStatus() {}
}
