package gingerspool.autoscaler;

import gingerspool.slots.Function;

/**
 * The cost of starting an instance, expressed as the idle time of an instance that costs as much.
 */
final class StartCost {
    /**
     * A start costs as much as an instance that is idle for this many start times: it takes the
     * start time itself, the platform charges for it, and it delays the request that waits for it.
     */
    private static final double IDLE_START_TIMES = 3;

    private StartCost() {}

    /** How long an instance may be idle at the cost of one start, in milliseconds. */
    static double equivalentIdleTime(Function function) {
        return IDLE_START_TIMES * function.startTime;
    }
}
