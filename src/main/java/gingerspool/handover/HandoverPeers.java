package gingerspool.handover;

/**
 * The processes before and after this one, as long as they are known to live, and which of the
 * three has the clients.
 *
 * <p>Thread: the event loop.
 */
final class HandoverPeers {
    private final Succession succession = new Succession();
    private Peer predecessor;
    private Peer successor;

    Succession succession() {
        return succession;
    }

    /** Null while there is none. */
    Peer predecessor() {
        return predecessor;
    }

    /** Null while there is none. */
    Peer successor() {
        return successor;
    }

    boolean isPredecessor(String address) {
        return predecessor != null && predecessor.address().equals(address);
    }

    boolean isSuccessor(String address) {
        return successor != null && successor.address().equals(address);
    }

    void setPredecessor(Peer peer) {
        predecessor = peer;
    }

    /** Takes the place of the one before it, if there is one. */
    void replaceSuccessor(Peer peer) {
        dropSuccessor();
        successor = peer;
    }

    void dropPredecessor() {
        Peer dropped = predecessor;
        predecessor = null;
        if (dropped != null) {
            dropped.close();
        }
    }

    void dropSuccessor() {
        Peer dropped = successor;
        successor = null;
        if (dropped != null) {
            dropped.close();
        }
    }

    /**
     * Guards against a no for want of a process that is gone: what it had, it takes with it. Its
     * end may be seen a little after the end of a call to it.
     */
    boolean isGone(Peer peer) {
        return peer != predecessor && peer != successor;
    }

    /** Whether the process before this one has retired and lives on beside it. */
    boolean hasRetiredPredecessor() {
        return predecessor != null
                && succession.predecessorState() == Succession.PredecessorState.RETIRED;
    }

    /** Whether a process after this one has the clients. */
    boolean hasSuccessorTakenOver() {
        return succession.successorState() == Succession.SuccessorState.TAKEN_OVER;
    }
}
