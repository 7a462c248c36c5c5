package gingerspool.dispatch;

/** What may be sent to a worker that is not warm yet. */
final class ColdBudget {
    /** The part of all dispatchers' budget for a cold worker that one task may be. */
    private static final double MAX_TASK_SHARE = 1.0 / 6;

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;

    ColdBudget(Estimates model, Speed speed) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
    }

    /** A worker has begun: its level starts anywhere, so that dispatchers take turns. */
    void workerStarted(int w, double phase) {
        fleet.coldLevel[w] = phase * model.meanWork;
        fleet.coldLevelAt[w] = model.now;
    }

    boolean inBudget(int w, double work) {
        // Guards against idling for good: who answered or was seen to start is warm in time.
        if (model.coldWindow <= 0
                || speed.warmth(w, 1) >= 1 && fleet.answeredAt[w] + fleet.startedAt[w] > 0) {
            return true;
        }
        // Guards against new workers idling until warm: among many dispatchers a share is under one
        // task, so
        // one goes when the level has run down, in a phase of chance, if it is a small part of the
        // whole.
        double level = levelNow(w);
        return level + work <= budget(w) / 2
                || level <= 0 && work <= budget(w) * model.dispatchers * MAX_TASK_SHARE;
    }

    /** Work that we may send a cold worker in one window: half at once, half over the window. */
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
