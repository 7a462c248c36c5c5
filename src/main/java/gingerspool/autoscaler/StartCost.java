package gingerspool.autoscaler;

import gingerspool.slots.Function;

/** What a start costs, in the time for which an instance might stand idle instead. */
final class StartCost {
    /**
     * A start is worth so many start times of standing idle: the start's own, what the platform
     * charges for it, and what waiting for it takes from the request.
     */
    private static final double IDLE_START_TIMES = 3;

    private StartCost() {}

    /** How long an instance may stand idle for the price of one start, in milliseconds. */
    static double equivalentIdleTime(Function function) {
        return IDLE_START_TIMES * function.startTime;
    }
}
