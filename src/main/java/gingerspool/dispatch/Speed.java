package gingerspool.dispatch;

/** Estimates the speed of workers: slots, pace of a slot, and warm-up state. */
final class Speed {
    private final Estimates model;
    private final Workers fleet;

    Speed(Estimates model) {
        this.model = model;
        fleet = model.fleet;
    }

    /** Slots; early on at least the listed size, as busy workers report only their free slots. */
    double slotsOf(int w) {
        double kind = fleet.kindSlots[fleet.kindOf[w]];
        double observed = Math.max(fleet.slots[w], Math.rint(0.8 * kind));
        return kind > 0 && model.now >= model.firstArrival + 2 * model.decaySpan()
                ? observed
                : Math.max(observed, Math.max(1, Math.rint(fleet.size[w])));
    }

    /** Pace of a slot: from recent running times, shrunk toward its kind, warm-up included. */
    double pace(int w) {
        return kindPace(fleet.kindOf[w])
                * Math.exp(model.commonPace + fleet.logPace[w])
                * warmth(w, model.warmUp)
                / model.standardPace;
    }

    double kindPace(int k) {
        double prior = 4 * model.meanWork;
        return (fleet.kindWork[k] + prior) / (fleet.kindRunTime[k] + prior);
    }

    /** Share of capacity reached, if warming up this many times sooner than configured. */
    double warmth(int w, double speedUp) {
        double age = speedUp * (model.now - fleet.startedAt[w]);
        return age >= model.warmUpSpan || fleet.startedAt[w] <= 0
                ? 1
                : model.coldShare + (1 - model.coldShare) * Math.max(0, age) / model.warmUpSpan;
    }
}
