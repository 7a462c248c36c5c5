package gingerspool.dispatch;

/** Tracks the sends that other dispatchers announce, so that they count in the load at once. */
final class PeerSends {
    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queue;
    private final LocalSends localSends;

    PeerSends(Estimates model, Speed speed, QueuedWork queue, LocalSends localSends) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
        this.queue = queue;
        this.localSends = localSends;
    }

    /** Handles an announcement that a peer has sent a task to a worker, or that one has ended. */
    void messageReceived(int peer, byte[] message) {
        int w = fleet.findByTag(PeerMessage.tag(message));
        if (w >= 0 && PeerMessage.begins(message)) {
            Task t = new Task("");
            t.work = model.tick * PeerMessage.size(message);
            t.hint = t.work;
            Assignment a =
                    new Assignment(
                            t,
                            w,
                            0,
                            model.now,
                            t.work / speed.pace(w),
                            queue.waitInRegion(w, queue.regionOf(w)),
                            0);
            a.peer = peer;
            localSends.smoothSlots(w);
            fleet.link(a);
        } else if (w >= 0) {
            Assignment a = fleet.oldest[w];
            while (a != null && a.peer != peer) {
                a = a.next;
            }
            localSends.drop(a);
        }
    }
}
