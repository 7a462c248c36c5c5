package gingerspool.wire;

/**
 * Knows from the loop's timers when the whole process stood still, stopped or without a processor.
 * What came meanwhile is noticed only after that: it may have come at any time of the stall, and
 * timers that came due meanwhile must not run before it is looked at.
 *
 * <p>A stall is seen by a timer that fires late while no event was noticed around the time at which
 * it was due; where events were, the loop alone was held up. It began no earlier than the last
 * timer before it, so it is known as closely as timers follow each other. Stalls between which
 * nothing was noticed count as one.
 *
 * <p>Thread: the event loop. Times are milliseconds on any one clock.
 */
final class StallTracker {
    /** A timer that fires later than this was held up. */
    static final double LATE_THRESHOLD_MS = 50;

    /** After a stall all that came meanwhile has been noticed within this. */
    static final double CATCH_UP_MS = 50;

    /** After a stall the runtime gets so long to look at the sockets before any timer runs. */
    static final double TIMER_HOLD_MS = 20;

    private double lastTimerAt = Double.NEGATIVE_INFINITY;

    /** When the loop was last seen to be late, whatever held it up. */
    private double lastLateAt = Double.NEGATIVE_INFINITY;

    private double stallStart = Double.NaN;
    private double stallEnd = Double.NEGATIVE_INFINITY;

    /** When the first event after the stall was noticed, as far as known at its end. */
    private double quietUntil = Double.NEGATIVE_INFINITY;

    /** When the last one of the stalls that count as one began. */
    private double lastStallStart = Double.NaN;

    /** Until then timers wait for what came in a stall of the whole process. */
    private double timersHeldUntil = Double.NEGATIVE_INFINITY;

    /**
     * A timer that was due at one time fires at another. The span is the one of over LATE without
     * an event in which it was due; null where events were noticed around that time. Returns for
     * how long the timer is to wait.
     */
    double timerFired(double due, double at, QuietSpan quiet) {
        if (at > due + LATE_THRESHOLD_MS) {
            lastLateAt = at;
            // Others that were due in the same stall tell nothing new.
            if (quiet != null && due > stallEnd) {
                recordStall(due, at, quiet);
            }
        }
        lastTimerAt = at;
        return Math.max(0, timersHeldUntil - at);
    }

    private void recordStall(double due, double at, QuietSpan quiet) {
        boolean continuesPrevious =
                hasStalled() && lastTimerAt <= stallEnd + CATCH_UP_MS && quiet.from() < quietUntil;
        lastStallStart = Math.min(due, Math.max(lastTimerAt, due - LATE_THRESHOLD_MS));
        stallStart = continuesPrevious ? stallStart : lastStallStart;
        stallEnd = at;
        quietUntil = quiet.until();
        timersHeldUntil = at + TIMER_HOLD_MS;
    }

    private boolean hasStalled() {
        return stallEnd > Double.NEGATIVE_INFINITY;
    }

    /** Since when the loop has been on time; negative infinity where it always was. */
    double onTimeSince() {
        return lastLateAt;
    }

    /**
     * The earliest time at which something may have come that a thread noticed at this time which
     * waits for nothing else, as for a signal: in the last stall, since it ran before that.
     */
    double earliest(double noticedAt) {
        return isAfterStall(noticedAt) ? Math.min(noticedAt, lastStallStart) : noticedAt;
    }

    /**
     * The earliest time at which an event may have come that was noticed at this time, where others
     * had been noticed before by another look at the sockets.
     */
    double earliest(double noticedAt, double lookedAt) {
        return isAfterStall(noticedAt)
                ? Math.min(noticedAt, Math.max(stallStart, lookedAt))
                : noticedAt;
    }

    private boolean isAfterStall(double at) {
        return hasStalled()
                && at >= Math.min(quietUntil, stallEnd - CATCH_UP_MS)
                && at <= stallEnd + CATCH_UP_MS;
    }
}
