package gingerspool.wire;

/**
 * Knows from the loop's timers when the whole process stood still, stopped or without a processor:
 * what came meanwhile is noticed only after that, and may have come at any time of it.
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

    private double lastTimerAt = Double.NEGATIVE_INFINITY;
    private double stalledFrom = Double.NaN;
    private double stalledUntil = Double.NaN;

    /** A timer that was due at one time fires at another. */
    void fired(double due, double at) {
        if (at > due + LATE) {
            boolean goesOn = lastTimerAt <= stalledUntil + CATCH_UP;
            stalledFrom = goesOn ? stalledFrom : Math.min(due, Math.max(lastTimerAt, due - LATE));
            stalledUntil = at;
        }
        lastTimerAt = at;
    }

    /**
     * The earliest time at which an event may have come that was noticed at this time, where others
     * had been noticed before by another look at the sockets. One that was noticed while the loop
     * was held up shows that the rest of the process was not.
     */
    double earliest(double noticedAt, double lookedAt) {
        boolean afterStall =
                noticedAt >= stalledUntil - CATCH_UP && noticedAt <= stalledUntil + CATCH_UP;
        return afterStall ? Math.min(noticedAt, Math.max(stalledFrom, lookedAt)) : noticedAt;
    }
}
