package gingerspool.dispatch;

/** Sends a task to the worker chosen for it and tells every part that it is under way. */
final class Sender {
    private final Estimates known;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queued;
    private final LocalSends ownSends;
    private final PairTable pairs;
    private final ColdBudget coldBudget;
    private final OverdueSends overdue;
    private final PendingTasks pending;
    private final DispatchActions out;
    private long serial;

    Sender(
            Estimates known,
            Speed speed,
            QueuedWork queued,
            LocalSends ownSends,
            PairTable pairs,
            ColdBudget coldBudget,
            OverdueSends overdue,
            PendingTasks pending,
            DispatchActions out) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
        this.queued = queued;
        this.ownSends = ownSends;
        this.pairs = pairs;
        this.coldBudget = coldBudget;
        this.overdue = overdue;
        this.pending = pending;
        this.out = out;
    }

    void send(Task t, int w) {
        pending.remove(t);
        t.terms.sent(t.tries, known.now);
        Assignment a =
                new Assignment(
                        t,
                        w,
                        t.tries,
                        known.now,
                        t.work / speed.pace(w),
                        queued.waitAt(w, queued.regionOf(w)),
                        serial++);
        t.add(a);
        a.region = queued.regionOf(w);
        a.metFree =
                a.region < 2
                        && (!known.reportsCome
                                ? fleet.own[w] == 0
                                : known.now - fleet.heardAt[w] < 4 * known.meanWork
                                        && fleet.lastReport[w][Report.FREE_SLOTS] > 0.5);
        if (!known.tellsStart && !pairs.waitsUnseen()) {
            fleet.sentIn[w][a.region]++;
        }
        ownSends.sendRate(w, 1);
        coldBudget.spend(w, t.work);
        ownSends.smoothOwn(w);
        fleet.link(a);
        overdue.sent(a);
        if (t.terms.copies > 1) {
            pending.add(t);
            t.decideAt = known.now + t.terms.copyAfter;
        }
        out.send(a, t.terms.timeout);
        ownSends.tell(a, true);
    }
}
