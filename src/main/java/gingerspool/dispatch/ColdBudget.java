package gingerspool.dispatch;

/** What may be sent to a worker that is not warm yet. */
final class ColdBudget {
    /** The part of all dispatchers' budget for a cold worker that one task may be. */
    private static final double COLD_GRAIN = 1.0 / 6;

    private final Estimates known;
    private final Workers fleet;
    private final Speed speed;

    ColdBudget(Estimates known, Speed speed) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
    }

    /** A worker has begun: its level starts anywhere, so that dispatchers take turns. */
    void begin(int w, double phase) {
        fleet.coldLevel[w] = phase * known.meanWork;
        fleet.coldAt[w] = known.now;
    }

    boolean inBudget(int w, double work) {
        // Guards against idling for good: who answered or was seen to start is warm in time.
        if (known.budgetSpan <= 0
                || speed.warmth(w, 1) >= 1 && fleet.answeredAt[w] + fleet.startedAt[w] > 0) {
            return true;
        }
        // Guards against new workers idling until warm: among many dispatchers a share is under one
        // task, so
        // one goes when the level has run down, in a phase of chance, if it is a small part of the
        // whole.
        double level = coldLevelNow(w);
        return level + work <= budget(w) / 2
                || level <= 0 && work <= budget(w) * known.dispatchers * COLD_GRAIN;
    }

    /** Work that we may send a cold worker in one window: half at once, half over the window. */
    private double budget(int w) {
        return known.budgetShare
                * speed.slotsOf(w)
                * speed.pace(w)
                * speed.warmth(w, 1)
                / speed.warmth(w, known.warmUp);
    }

    private double coldLevelNow(int w) {
        return Math.max(
                0,
                fleet.coldLevel[w]
                        - (known.now - fleet.coldAt[w]) * budget(w) / 2 / known.budgetSpan);
    }

    void spend(int w, double work) {
        fleet.coldLevel[w] = coldLevelNow(w) + work;
        fleet.coldAt[w] = known.now;
    }
}
