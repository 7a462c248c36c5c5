package gingerspool.dispatch;

/** Own unfinished sends, which count in O at once, and the sends that other dispatchers tell of. */
final class LocalSends {
    private final Estimates model;
    private final Workers fleet;
    private final DispatchActions actions;

    /** Work from which on a send is told, in shares of the mean. */
    private double announceThreshold;

    LocalSends(Estimates model, DispatchActions actions) {
        this.model = model;
        fleet = model.fleet;
        this.actions = actions;
        announceThreshold = -Math.log(Math.max(1e-9, model.announceShare));
    }

    /** Guards against lost messages: what others told of is not believed out for ever. */
    void dropExpired(int w) {
        for (Assignment a = fleet.oldest[w]; a != null; ) {
            Assignment next = a.next;
            if (a.peer >= 0 && model.now > a.sentAt + 2 * (a.wait + 2 * a.run)) {
                drop(a);
            }
            a = next;
        }
    }

    void drop(Assignment a) {
        if (a != null) {
            smoothSlots(a.worker);
            fleet.unlink(a);
        }
    }

    /** Guards against messages that cost more than they tell: only the largest sends are told. */
    void announce(Assignment a, boolean begins) {
        if (begins && model.announceShare > 0) {
            a.announced = a.task.work >= announceThreshold * model.meanWork;
            announceThreshold *= Math.exp(((a.announced ? 1 : 0) - model.announceShare) / 4);
        }
        if (a.announced) {
            actions.tell(
                    -1, PeerMessage.of(fleet.tag[a.worker], begins ? a.task.work / model.tick : 0));
        }
    }

    /** Own sends are taken off a report as they were on average when it was made. */
    void smoothSlots(int w) {
        double past = 1 - Math.exp(-(model.now - fleet.smoothedAt[w]) / (2 * model.meanWork));
        fleet.smoothedSlots[w] += (fleet.ownSlots[w] - fleet.smoothedSlots[w]) * past;
        fleet.smoothedAt[w] = model.now;
    }

    /** Our sends to the worker a millisecond, counting so many more now. */
    double sendRate(int w, int more) {
        double span = Estimates.SAMPLES * model.meanWork;
        fleet.sendRate[w] =
                fleet.sendRate[w] * Math.exp((fleet.rateAt[w] - model.now) / span) + more / span;
        fleet.rateAt[w] = model.now;
        return fleet.sendRate[w];
    }
}
