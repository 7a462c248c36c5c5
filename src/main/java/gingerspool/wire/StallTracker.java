package gingerspool.wire;

/**
 * Detects from the loop's timers when the whole process stalled, because it was stopped or got no
 * processor. Events that arrive during a stall are noticed only after it: they may have arrived at
 * any time during the stall, and timers that came due meanwhile must not run before these events
 * are handled.
 *
 * <p>A stall is detected when a timer fires late and no event was noticed around the time at which
 * it was due; if events were noticed, only the loop was delayed. The stall began no earlier than
 * the last timer before it fired, so the interval between timers bounds the accuracy of its start.
 * Stalls between which no event was noticed count as one.
 *
 * <p>Thread: the event loop. Times are in milliseconds, all on the same clock.
 */
final class StallTracker {
    /** A timer that fires later than this was delayed by a stall or a slow task. */
    static final double LATE_THRESHOLD_MS = 50;

    /** All events that arrived during a stall have been noticed this long after it. */
    static final double CATCH_UP_MS = 50;

    /** After a stall timers are held this long, so that the runtime polls the sockets first. */
    static final double TIMER_HOLD_MS = 20;

    private double lastTimerAt = Double.NEGATIVE_INFINITY;

    /** When the loop was last found late, for whatever reason. */
    private double lastLateAt = Double.NEGATIVE_INFINITY;

    private double stallStart = Double.NaN;
    private double stallEnd = Double.NEGATIVE_INFINITY;

    /** When the first event after the stall was noticed, as known at the end of the stall. */
    private double quietUntil = Double.NEGATIVE_INFINITY;

    /** When the last of the stalls that count as one began. */
    private double lastStallStart = Double.NaN;

    /** Timers are held until this time, so that events from the stall are handled first. */
    private double timersHeldUntil = Double.NEGATIVE_INFINITY;

    /**
     * Called when a timer fires.
     *
     * @param due when the timer was due
     * @param firedAt when it fired
     * @param quiet the period without an event, longer than {@link #LATE_THRESHOLD_MS}, in which
     *     the timer was due; null if events were noticed around that time
     * @return how long the timer is to be held
     */
    double timerFired(double due, double firedAt, QuietSpan quiet) {
        if (firedAt > due + LATE_THRESHOLD_MS) {
            lastLateAt = firedAt;
            // Further timers that were due in the same stall add no information.
            if (quiet != null && due > stallEnd) {
                recordStall(due, firedAt, quiet);
            }
        }
        lastTimerAt = firedAt;
        return Math.max(0, timersHeldUntil - firedAt);
    }

    private void recordStall(double due, double firedAt, QuietSpan quiet) {
        boolean continuesPrevious =
                hasStalled() && lastTimerAt <= stallEnd + CATCH_UP_MS && quiet.from() < quietUntil;
        lastStallStart = Math.min(due, Math.max(lastTimerAt, due - LATE_THRESHOLD_MS));
        stallStart = continuesPrevious ? stallStart : lastStallStart;
        stallEnd = firedAt;
        quietUntil = quiet.until();
        timersHeldUntil = firedAt + TIMER_HOLD_MS;
    }

    private boolean hasStalled() {
        return stallEnd > Double.NEGATIVE_INFINITY;
    }

    /** Since when the loop has been on time; negative infinity if it was never late. */
    double onTimeSince() {
        return lastLateAt;
    }

    /**
     * The earliest time at which something, such as a signal, may have arrived that a dedicated
     * waiting thread noticed at this time. This reaches back to the last stall only: the thread ran
     * before that stall and would have noticed it.
     */
    double earliestArrival(double noticedAt) {
        return isAfterStall(noticedAt) ? Math.min(noticedAt, lastStallStart) : noticedAt;
    }

    /**
     * The earliest time at which a socket event may have arrived.
     *
     * @param noticedAt when it was noticed
     * @param previousPollAt when an earlier poll of the sockets noticed other events, but not this
     *     one
     */
    double earliestArrival(double noticedAt, double previousPollAt) {
        return isAfterStall(noticedAt)
                ? Math.min(noticedAt, Math.max(stallStart, previousPollAt))
                : noticedAt;
    }

    private boolean isAfterStall(double at) {
        return hasStalled()
                && at >= Math.min(quietUntil, stallEnd - CATCH_UP_MS)
                && at <= stallEnd + CATCH_UP_MS;
    }
}
