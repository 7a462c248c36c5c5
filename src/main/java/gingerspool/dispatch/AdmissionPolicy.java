package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

/** When a task is given up: its best chance is under a bound that rises with strain. */
final class AdmissionPolicy {
    /** A task whose best chance is lower than this is given up. */
    static final double MIN_SCORE = 0.08;

    /** How much higher that bound is when every task waits: a late one costs another its place. */
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

    /** An answer came, in time or late. */
    void answered(Task t) {
        model.lateShare += ((model.now > t.due ? 1 : 0) - model.lateShare) * runs.newestWeight();
    }

    boolean shouldGiveUp(Task task, int best, double bestChance) {
        if (best < 0 || fleet.grantedSlots[best] < Integer.MAX_VALUE) {
            return best < 0;
        }
        double density =
                Math.max(task.worth / task.work, ServerChoice.TOLERANCE * model.meanDensity);
        double weight = Math.max(0.5, Math.min(1.6, Math.sqrt(model.meanDensity / density)));
        model.meanDensity += (task.worth / task.work - model.meanDensity) / SAMPLES;
        model.queuedShare += ((queue.regionOf(best) > 1 ? 1 : 0) - model.queuedShare) / SAMPLES;
        // Guards against refusing in vain: believed queues count in full where answers are late.
        double missed = lateShareNow();
        double strain =
                Math.max(
                        model.queuedShare * Math.min(1, 10 * missed),
                        lateWeight() * Math.min(1, 5 * (missed - 0.16)));
        return bestChance < (MIN_SCORE + STRAIN_WEIGHT * strain * strain) * weight;
    }

    /** How far late answers count: in the first seconds, only as workers are believed full. */
    private double lateWeight() {
        return Math.max(
                1 - Math.exp((model.firstArrival - model.now) / (2 * model.decaySpan())),
                Math.min(1, 2 * model.fullShare));
    }

    /** Share of late answers; what is out past its due time counts, so a jam shows sooner. */
    double lateShareNow() {
        double seen = 1 / runs.newestWeight();
        int out = overdue.count(model.now);
        return (model.lateShare * seen + out) / (seen + out);
    }

    /** Whether the client may be told to come again: nothing ran, or may run once more anywhere. */
    static boolean isRetrySafe(Task t) {
        return t.firstRun == null
                || t.profile.effect == Profile.Effect.IDEMPOTENT
                || t.profile.effect == Profile.Effect.FINGERPRINTED
                        && t.profile.scope == Profile.Scope.ALL;
    }
}
