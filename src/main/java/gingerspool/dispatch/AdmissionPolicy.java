package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

/** Gives up a task whose best score is below a bound that rises with strain. */
final class AdmissionPolicy {
    /** A task whose best score is lower than this is given up, even without strain. */
    static final double MIN_SCORE = 0.08;

    /** Added to that bound under full strain, when a late task takes another's place. */
    private static final double STRAIN_WEIGHT = 0.6;

    private final Estimates model;
    private final Workers fleet;
    private final QueuedWork queue;
    private final RunningTimes runs;
    private final OverdueSends overdue;

    AdmissionPolicy(Estimates model, QueuedWork queue, RunningTimes runs, OverdueSends overdue) {
        this.model = model;
        fleet = model.fleet;
        this.queue = queue;
        this.runs = runs;
        this.overdue = overdue;
    }

    void answered(Task t) {
        model.lateShare += ((model.now > t.due ? 1 : 0) - model.lateShare) * runs.newestWeight();
    }

    boolean shouldGiveUp(Task task, int best, double bestScore) {
        if (best < 0 || fleet.grantedSlots[best] < Integer.MAX_VALUE) {
            return best < 0;
        }
        double density =
                Math.max(task.worth / task.work, ServerChoice.TOLERANCE * model.meanDensity);
        double weight = Math.max(0.5, Math.min(1.6, Math.sqrt(model.meanDensity / density)));
        model.meanDensity += (task.worth / task.work - model.meanDensity) / SAMPLES;
        model.queuedShare += ((queue.regionOf(best) > 1 ? 1 : 0) - model.queuedShare) / SAMPLES;
        // Guards against needless refusals: estimated queues count fully only if answers are late.
        double lateNow = lateShareNow();
        double strain =
                Math.max(
                        model.queuedShare * Math.min(1, 10 * lateNow),
                        lateWeight() * Math.min(1, 5 * (lateNow - 0.16)));
        return bestScore < (MIN_SCORE + STRAIN_WEIGHT * strain * strain) * weight;
    }

    /** Weight of late answers: at first only as far as workers are believed full. */
    private double lateWeight() {
        return Math.max(
                1 - Math.exp((model.firstArrival - model.now) / (2 * model.decaySpan())),
                Math.min(1, 2 * model.fullShare));
    }

    /** Share of late answers; overdue sends count too, so congestion shows sooner. */
    double lateShareNow() {
        double samples = 1 / runs.newestWeight();
        int overdueSends = overdue.count(model.now);
        return (model.lateShare * samples + overdueSends) / (samples + overdueSends);
    }

    /** Whether the client may retry: nothing ran, or it may run again on any worker. */
    static boolean isRetrySafe(Task t) {
        return t.firstRun == null
                || t.profile.effect == Profile.Effect.IDEMPOTENT
                || t.profile.effect == Profile.Effect.FINGERPRINTED
                        && t.profile.scope == Profile.Scope.ALL;
    }
}
