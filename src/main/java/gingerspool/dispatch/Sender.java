package gingerspool.dispatch;

/**
 * Sends a task to the worker chosen for it and updates the estimates of all parts. Called by Rules.
 */
final class Sender {
    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queue;
    private final LocalSends localSends;
    private final PairTable pairs;
    private final ColdBudget coldBudget;
    private final OverdueSends overdue;
    private final PendingTasks pending;
    private final DispatchActions actions;
    private long serial;

    Sender(
            Estimates model,
            Speed speed,
            QueuedWork queue,
            LocalSends localSends,
            PairTable pairs,
            ColdBudget coldBudget,
            OverdueSends overdue,
            PendingTasks pending,
            DispatchActions actions) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
        this.queue = queue;
        this.localSends = localSends;
        this.pairs = pairs;
        this.coldBudget = coldBudget;
        this.overdue = overdue;
        this.pending = pending;
        this.actions = actions;
    }

    void send(Task t, int w) {
        pending.remove(t);
        t.terms.chargeBudget(t.tries, model.now);
        Assignment a =
                new Assignment(
                        t,
                        w,
                        t.tries,
                        model.now,
                        t.work / speed.pace(w),
                        queue.waitInRegion(w, queue.regionOf(w)),
                        serial++);
        t.add(a);
        a.region = queue.regionOf(w);
        a.sawFreeSlot =
                a.region < 2
                        && (!model.reportsReceived
                                ? fleet.ownSlots[w] == 0
                                : model.now - fleet.loadAt[w] < 4 * model.meanWork
                                        && fleet.lastReport[w][Report.FREE_SLOTS] > 0.5);
        if (!model.notifiesStart && !pairs.queuesAreHidden()) {
            fleet.sendsByRegion[w][a.region]++;
        }
        localSends.sendRate(w, 1);
        coldBudget.spend(w, t.work);
        localSends.smoothSlots(w);
        fleet.link(a);
        overdue.sent(a);
        if (t.terms.copies > 1) {
            pending.add(t);
            t.decideAt = model.now + t.terms.copyDelay;
        }
        actions.send(a, t.terms.timeout);
        localSends.announce(a, true);
    }
}
