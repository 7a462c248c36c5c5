package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

/** When a task is given up: its best chance is under a bound that rises with strain. */
final class AdmissionPolicy {
    /** A task whose best chance is lower than this is given up. */
    static final double HOPELESS = 0.08;

    /** How much higher that bound is when every task waits: a late one costs another its place. */
    private static final double PRESSED = 0.6;

    private final Estimates known;
    private final Workers fleet;
    private final QueuedWork queued;
    private final RunningTimes runs;
    private final OverdueSends overdue;

    AdmissionPolicy(Estimates known, QueuedWork queued, RunningTimes runs, OverdueSends overdue) {
        this.known = known;
        fleet = known.fleet;
        this.queued = queued;
        this.runs = runs;
        this.overdue = overdue;
    }

    /** An answer came, in time or late. */
    void answered(Task t) {
        known.lateShare += ((known.now > t.due ? 1 : 0) - known.lateShare) * runs.newest();
    }

    boolean hopeless(Task task, int best, double bestChance) {
        if (best < 0 || fleet.granted[best] < Integer.MAX_VALUE) {
            return best < 0;
        }
        double density = Math.max(task.worth / task.work, ServerChoice.NEAR * known.meanDensity);
        double weight = Math.max(0.5, Math.min(1.6, Math.sqrt(known.meanDensity / density)));
        known.meanDensity += (task.worth / task.work - known.meanDensity) / SAMPLES;
        known.queuedShare += ((queued.regionOf(best) > 1 ? 1 : 0) - known.queuedShare) / SAMPLES;
        // Guards against refusing in vain: believed queues count in full where answers are late.
        double missed = lateNow();
        double strain =
                Math.max(
                        known.queuedShare * Math.min(1, 10 * missed),
                        lateWeight() * Math.min(1, 5 * (missed - 0.16)));
        return bestChance < (HOPELESS + PRESSED * strain * strain) * weight;
    }

    /** How far late answers count: in the first seconds, only as workers are believed full. */
    private double lateWeight() {
        return Math.max(
                1 - Math.exp((known.firstArrival - known.now) / (2 * known.fadeSpan())),
                Math.min(1, 2 * known.fullShare));
    }

    /** Share of late answers; what is out past its due time counts, so a jam shows sooner. */
    double lateNow() {
        double seen = 1 / runs.newest();
        int out = overdue.count(known.now);
        return (known.lateShare * seen + out) / (seen + out);
    }

    /** Whether the client may be told to come again: nothing ran, or may run once more anywhere. */
    static boolean harmless(Task t) {
        return t.ran == null
                || t.profile.effect == Profile.Effect.IDEMPOTENT
                || t.profile.effect == Profile.Effect.FINGERPRINTED
                        && t.profile.scope == Profile.Scope.ALL;
    }
}
