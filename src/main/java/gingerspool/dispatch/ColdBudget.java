package gingerspool.dispatch;

/** Limits the work sent to a worker that is not warm yet, as a leaky bucket. */
final class ColdBudget {
    /** Largest share of all dispatchers' budget for a cold worker that one task may take. */
    private static final double MAX_TASK_SHARE = 1.0 / 6;

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;

    ColdBudget(Estimates model, Speed speed) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
    }

    /** Sets a random initial level (phase 0 to 1), so that dispatchers take turns. */
    void workerStarted(int w, double phase) {
        fleet.coldLevel[w] = phase * model.meanWork;
        fleet.coldLevelAt[w] = model.now;
    }

    boolean inBudget(int w, double work) {
        // Guards against idling forever: one that answered or was seen to start gets warm in time.
        if (model.coldWindow <= 0
                || speed.warmth(w, 1) >= 1 && fleet.answeredAt[w] + fleet.startedAt[w] > 0) {
            return true;
        }
        // Guards against new workers idling until warm: with many dispatchers a share is below one
        // task, so one small against the total budget is sent whenever the level reaches 0.
        double level = levelNow(w);
        return level + work <= budget(w) / 2
                || level <= 0 && work <= budget(w) * model.dispatchers * MAX_TASK_SHARE;
    }

    /** Work we may send a cold worker per window: half at once, half spread over the window. */
    private double budget(int w) {
        return model.coldBudget
                * speed.slotsOf(w)
                * speed.pace(w)
                * speed.warmth(w, 1)
                / speed.warmth(w, model.warmUp);
    }

    private double levelNow(int w) {
        return Math.max(
                0,
                fleet.coldLevel[w]
                        - (model.now - fleet.coldLevelAt[w]) * budget(w) / 2 / model.coldWindow);
    }

    void spend(int w, double work) {
        fleet.coldLevel[w] = levelNow(w) + work;
        fleet.coldLevelAt[w] = model.now;
    }
}
