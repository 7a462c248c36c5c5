package gingerspool.dispatch;

/** How fast a worker runs: its slots, the pace of one, and how warm it is. */
final class Speed {
    private final Estimates model;
    private final Workers fleet;

    Speed(Estimates model) {
        this.model = model;
        fleet = model.fleet;
    }

    /** Guards the first seconds: the free slots of busy workers are not all that they have. */
    double slotsOf(int w) {
        double kind = fleet.kindSlots[fleet.kindOf[w]];
        double told = Math.max(fleet.slots[w], Math.rint(0.8 * kind));
        return kind > 0 && model.now >= model.firstArrival + 2 * model.decaySpan()
                ? told
                : Math.max(told, Math.max(1, Math.rint(fleet.size[w])));
    }

    /** Speed of a slot: its last running times, leaning on its kind's, cold share included. */
    double pace(int w) {
        return kindPace(fleet.kindOf[w])
                * Math.exp(model.commonPace + fleet.logPace[w])
                * warmth(w, model.warmUp)
                / model.standardPace;
    }

    double kindPace(int k) {
        double lean = 4 * model.meanWork;
        return (fleet.kindWork[k] + lean) / (fleet.kindRunTime[k] + lean);
    }

    /** The share of its capacity reached by a worker that warms this much sooner than promised. */
    double warmth(int w, double times) {
        double age = times * (model.now - fleet.startedAt[w]);
        return age >= model.warmUpSpan || fleet.startedAt[w] <= 0
                ? 1
                : model.coldShare + (1 - model.coldShare) * Math.max(0, age) / model.warmUpSpan;
    }
}
