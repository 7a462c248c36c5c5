package gingerspool.dispatch;

/** Own unfinished sends, which count in O at once, and the sends that other dispatchers tell of. */
final class LocalSends {
    private final Estimates known;
    private final Workers fleet;
    private final DispatchActions out;

    /** Work from which on a send is told, in shares of the mean. */
    private double tellFrom;

    LocalSends(Estimates known, DispatchActions out) {
        this.known = known;
        fleet = known.fleet;
        this.out = out;
        tellFrom = -Math.log(Math.max(1e-9, known.tellShare));
    }

    /** Guards against lost messages: what others told of is not believed out for ever. */
    void forgetOld(int w) {
        for (Assignment a = fleet.oldest[w]; a != null; ) {
            Assignment next = a.after;
            if (a.peer >= 0 && known.now > a.sentAt + 2 * (a.wait + 2 * a.run)) {
                forget(a);
            }
            a = next;
        }
    }

    void forget(Assignment a) {
        if (a != null) {
            smoothOwn(a.worker);
            fleet.unlink(a);
        }
    }

    /** Guards against messages that cost more than they tell: only the largest sends are told. */
    void tell(Assignment a, boolean begins) {
        if (begins && known.tellShare > 0) {
            a.told = a.task.work >= tellFrom * known.meanWork;
            tellFrom *= Math.exp(((a.told ? 1 : 0) - known.tellShare) / 4);
        }
        if (a.told) {
            out.tell(
                    -1, PeerMessage.of(fleet.tag[a.worker], begins ? a.task.work / known.tick : 0));
        }
    }

    /** Own sends are taken off a report as they were on average when it was made. */
    void smoothOwn(int w) {
        double past = 1 - Math.exp(-(known.now - fleet.ownAt[w]) / (2 * known.meanWork));
        fleet.ownSmooth[w] += (fleet.own[w] - fleet.ownSmooth[w]) * past;
        fleet.ownAt[w] = known.now;
    }

    /** Our sends to the worker a millisecond, counting so many more now. */
    double sendRate(int w, int more) {
        double span = Estimates.SAMPLES * known.meanWork;
        fleet.sendRate[w] =
                fleet.sendRate[w] * Math.exp((fleet.rateAt[w] - known.now) / span) + more / span;
        fleet.rateAt[w] = known.now;
        return fleet.sendRate[w];
    }
}
