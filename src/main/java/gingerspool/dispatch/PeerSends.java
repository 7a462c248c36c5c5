package gingerspool.dispatch;

/** Notes the sends that other dispatchers tell of. */
final class PeerSends {
    private final Estimates known;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queued;
    private final LocalSends ownSends;

    PeerSends(Estimates known, Speed speed, QueuedWork queued, LocalSends ownSends) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
        this.queued = queued;
        this.ownSends = ownSends;
    }

    /** Another dispatcher tells that it has sent a task to a worker, or that one has ended. */
    void peerTold(int peer, byte[] message) {
        int w = fleet.withTag(PeerMessage.tag(message));
        if (w >= 0 && PeerMessage.begins(message)) {
            Task t = new Task("");
            t.work = known.tick * PeerMessage.size(message);
            t.hint = t.work;
            Assignment a =
                    new Assignment(
                            t,
                            w,
                            0,
                            known.now,
                            t.work / speed.pace(w),
                            queued.waitAt(w, queued.regionOf(w)),
                            0);
            a.peer = peer;
            ownSends.smoothOwn(w);
            fleet.link(a);
        } else if (w >= 0) {
            Assignment a = fleet.oldest[w];
            while (a != null && a.peer != peer) {
                a = a.after;
            }
            ownSends.forget(a);
        }
    }
}
