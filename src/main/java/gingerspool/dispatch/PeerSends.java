package gingerspool.dispatch;

/** Notes the sends that other dispatchers tell of. */
final class PeerSends {
    private final Learned known;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queued;
    private final OwnSends ownSends;

    PeerSends(Learned known, Speed speed, QueuedWork queued, OwnSends ownSends) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
        this.queued = queued;
        this.ownSends = ownSends;
    }

    /** Another dispatcher tells that it has sent a task to a worker, or that one has ended. */
    void told(int teller, byte[] word) {
        int w = fleet.tagged(Word.tag(word));
        if (w >= 0 && Word.begins(word)) {
            Task t = new Task("");
            t.work = known.tick * Word.size(word);
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
            a.teller = teller;
            ownSends.smoothOwn(w);
            fleet.link(a);
        } else if (w >= 0) {
            Assignment a = fleet.oldest[w];
            while (a != null && a.teller != teller) {
                a = a.after;
            }
            ownSends.forget(a);
        }
    }
}
