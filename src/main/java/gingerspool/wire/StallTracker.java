package gingerspool.wire;

/**
 * Knows from the loop's timers when the whole process stood still, stopped or without a processor.
 * What came meanwhile is noticed only after that: it may have come at any time of the stall, and
 * timers that came due meanwhile must not run before it is looked at.
 *
 * <p>A stall is seen by a timer that fires late. It began no earlier than the last timer before it,
 * so it is known as closely as timers follow each other. Stalls that follow each other before the
 * process has caught up count as one.
 *
 * <p>Thread: the event loop. Times are milliseconds on any one clock.
 */
final class StallTracker {
    /** A timer that fires later than this was held up by a stall. */
    static final double LATE = 50;

    /** After a stall all that came meanwhile has been noticed within this. */
    static final double CATCH_UP = 50;

    /** After a stall the runtime gets so long to look at the sockets before any timer runs. */
    static final double TIMERS_HELD = 20;

    private double lastTimerAt = Double.NEGATIVE_INFINITY;
    private double stalledFrom = Double.NaN;
    private double stalledUntil = Double.NEGATIVE_INFINITY;

    /** When the last one of those that count as one began. */
    private double lastStalledFrom = Double.NaN;

    /** Until then timers wait for what came in a stall of the whole process. */
    private double heldUntil = Double.NEGATIVE_INFINITY;

    /**
     * A timer that was due at one time fires at another; the runtime's own thread has last noticed
     * an event at `noticedAt`. Returns for how long the timer is to wait.
     */
    double fired(double due, double at, double noticedAt) {
        if (at > due + LATE) {
            boolean goesOn = hasStalled() && lastTimerAt <= stalledUntil + CATCH_UP;
            boolean isNew = !goesOn || at > stalledUntil + LATE;
            double from = Math.min(due, Math.max(lastTimerAt, due - LATE));
            stalledFrom = goesOn ? stalledFrom : from;
            lastStalledFrom = isNew ? from : lastStalledFrom;
            stalledUntil = at;
            // Where events were noticed in the stall, only the loop was held up: all is in order.
            if (isNew && !(noticedAt > due && noticedAt < at - CATCH_UP)) {
                heldUntil = at + TIMERS_HELD;
            }
        }
        lastTimerAt = at;
        return Math.max(0, heldUntil - at);
    }

    private boolean hasStalled() {
        return stalledUntil > Double.NEGATIVE_INFINITY;
    }

    /** When the last stall ended; negative infinity before the first. */
    double stalledUntil() {
        return stalledUntil;
    }

    /**
     * The earliest time at which something may have come that a thread noticed at this time which
     * waits for nothing else, as for a signal: in the last stall, since it ran before that.
     */
    double earliest(double noticedAt) {
        return isAfterStall(noticedAt) ? Math.min(noticedAt, lastStalledFrom) : noticedAt;
    }

    /**
     * The earliest time at which an event may have come that was noticed at this time, where others
     * had been noticed before by another look at the sockets. One that was noticed while the loop
     * was held up shows that the rest of the process was not.
     */
    double earliest(double noticedAt, double lookedAt) {
        return isAfterStall(noticedAt)
                ? Math.min(noticedAt, Math.max(stalledFrom, lookedAt))
                : noticedAt;
    }

    private boolean isAfterStall(double at) {
        return hasStalled() && at >= stalledUntil - CATCH_UP && at <= stalledUntil + CATCH_UP;
    }
}
