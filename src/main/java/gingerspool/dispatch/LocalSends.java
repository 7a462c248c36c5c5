package gingerspool.dispatch;

/** Accounts for unfinished sends at workers: our own, and those that peers announced. */
final class LocalSends {
    private final Estimates model;
    private final Workers fleet;
    private final DispatchActions actions;

    /** Minimum work of a send that is announced to peers, in mean works. */
    private double announceThreshold;

    LocalSends(Estimates model, DispatchActions actions) {
        this.model = model;
        fleet = model.fleet;
        this.actions = actions;
        announceThreshold = -Math.log(Math.max(1e-9, model.announceShare));
    }

    /** Guards against lost end messages: announced sends of peers expire. */
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

    /** Announces start or end to peers; only of the largest sends, to bound the message cost. */
    void announce(Assignment a, boolean starts) {
        if (starts && model.announceShare > 0) {
            a.announced = a.task.work >= announceThreshold * model.meanWork;
            announceThreshold *= Math.exp(((a.announced ? 1 : 0) - model.announceShare) / 4);
        }
        if (a.announced) {
            actions.sendToPeer(
                    -1, PeerMessage.of(fleet.tag[a.worker], starts ? a.task.work / model.tick : 0));
        }
    }

    /** Updates the smoothed own slots in use, which are subtracted from a report's jobs. */
    void smoothSlots(int w) {
        double weight = 1 - Math.exp(-(model.now - fleet.smoothedAt[w]) / (2 * model.meanWork));
        fleet.smoothedSlots[w] += (fleet.ownSlots[w] - fleet.smoothedSlots[w]) * weight;
        fleet.smoothedAt[w] = model.now;
    }

    /** Our send rate to the worker per ms, after counting this many new sends. */
    double sendRate(int w, int sends) {
        double span = Estimates.SAMPLES * model.meanWork;
        fleet.sendRate[w] =
                fleet.sendRate[w] * Math.exp((fleet.rateAt[w] - model.now) / span) + sends / span;
        fleet.rateAt[w] = model.now;
        return fleet.sendRate[w];
    }
}
