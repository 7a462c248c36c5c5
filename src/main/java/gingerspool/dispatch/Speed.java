package gingerspool.dispatch;

/** How fast a worker runs: its slots, the pace of one, and how warm it is. */
final class Speed {
    private final Estimates known;
    private final Workers fleet;

    Speed(Estimates known) {
        this.known = known;
        fleet = known.fleet;
    }

    /** Guards the first seconds: the free slots of busy workers are not all that they have. */
    double slotsOf(int w) {
        double kind = fleet.kindSlots[fleet.kindOf[w]];
        double told = Math.max(fleet.slots[w], Math.rint(0.8 * kind));
        return kind > 0 && known.now >= known.firstArrival + 2 * known.fadeSpan()
                ? told
                : Math.max(told, Math.max(1, Math.rint(fleet.size[w])));
    }

    /** Speed of a slot: its last running times, leaning on its kind's, cold share included. */
    double pace(int w) {
        return kindPace(fleet.kindOf[w])
                * Math.exp(known.commonPace + fleet.ownPace[w])
                * warmth(w, known.warmUp)
                / known.standardPace;
    }

    double kindPace(int k) {
        double lean = 4 * known.meanWork;
        return (fleet.kindWork[k] + lean) / (fleet.kindRun[k] + lean);
    }

    /** The share of its capacity reached by a worker that warms this much sooner than promised. */
    double warmth(int w, double times) {
        double age = times * (known.now - fleet.startedAt[w]);
        return age >= known.warmWithin || fleet.startedAt[w] <= 0
                ? 1
                : known.coldFrom + (1 - known.coldFrom) * Math.max(0, age) / known.warmWithin;
    }
}
