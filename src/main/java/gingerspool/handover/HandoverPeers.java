package gingerspool.handover;

/**
 * The predecessor and the successor of this process, as long as neither is known to have ended, and
 * the {@link Succession} that says which of the three serves the clients. Shared by the classes of
 * this package.
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

    /** Null if there is none. */
    Peer predecessor() {
        return predecessor;
    }

    /** Null if there is none. */
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

    /** Closes the calls to the former successor, if there is one. */
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
     * Whether this peer has been dropped. Guards against refusing a call because a process that has
     * ended did not acknowledge it: its tasks ended with it. Its end may be noticed a little after
     * a call to it has failed.
     */
    boolean isGone(Peer peer) {
        return peer != predecessor && peer != successor;
    }

    /** Whether the predecessor has retired and still runs. */
    boolean hasRetiredPredecessor() {
        return predecessor != null
                && succession.predecessorState() == Succession.PredecessorState.RETIRED;
    }

    /** Whether this process has retired and its successor serves the clients. */
    boolean hasSuccessorTakenOver() {
        return succession.successorState() == Succession.SuccessorState.TAKEN_OVER;
    }
}
