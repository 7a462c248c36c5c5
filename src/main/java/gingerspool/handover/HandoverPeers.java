package gingerspool.handover;

/**
 * The processes before and after this one, as long as they are known to live, and which of the
 * three has the clients.
 *
 * <p>Thread: the event loop.
 */
final class HandoverPeers {
    private final Succession succession = new Succession();
    private Peer before;
    private Peer after;

    Succession succession() {
        return succession;
    }

    /** Null while there is none. */
    Peer before() {
        return before;
    }

    /** Null while there is none. */
    Peer after() {
        return after;
    }

    boolean isBefore(String name) {
        return before != null && before.name().equals(name);
    }

    boolean isAfter(String name) {
        return after != null && after.name().equals(name);
    }

    void setBefore(Peer peer) {
        before = peer;
    }

    /** Takes the place of the one before it, if there is one. */
    void replaceAfter(Peer peer) {
        dropAfter();
        after = peer;
    }

    void dropBefore() {
        Peer dropped = before;
        before = null;
        if (dropped != null) {
            dropped.close();
        }
    }

    void dropAfter() {
        Peer dropped = after;
        after = null;
        if (dropped != null) {
            dropped.close();
        }
    }

    /**
     * Guards against a no for want of a process that is gone: what it had, it takes with it. Its
     * end may be seen a little after the end of a call to it.
     */
    boolean isGone(Peer peer) {
        return peer != before && peer != after;
    }

    /** Whether the process before this one has retired and lives on beside it. */
    boolean isBesideBefore() {
        return before != null && succession.before() == Succession.Before.BESIDE;
    }

    /** Whether a process after this one has the clients. */
    boolean isSucceeded() {
        return succession.after() == Succession.After.SUCCEEDED;
    }
}
