package gingerspool.autoscaler;

import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Retires surplus instances of each function, one at a time. Since load is spread over all
 * instances, none of them might ever become idle. Therefore the one with the fewest granted slots
 * is drained, and stopped once no scheduler holds a slot of it. Called by the autoscaler. Times are
 * milliseconds.
 */
final class SurplusRetirement {
    /** How long a surplus must last until an instance is retired, in start times. */
    private static final double SURPLUS_DELAY_START_TIMES = 2;

    /** The pause between the retirements of two instances of a function, in start times. */
    private static final double RETIREMENT_PAUSE_START_TIMES = 0.5;

    /** How long schedulers have to return the slots of a retiring instance, in start times. */
    private static final double DRAIN_TIMEOUT_START_TIMES = 20;

    private final Autoscaler.Actions actions;

    /**
     * Since when each function has had a surplus. After a retirement it is set so that the next one
     * follows after the pause.
     */
    private final Map<Function, Double> surplusSince = new HashMap<>();

    /** When each instance that is draining for retirement was retired. */
    private final Map<Instance, Double> retiringSince = new LinkedHashMap<>();

    SurplusRetirement(Autoscaler.Actions actions) {
        this.actions = actions;
    }

    /** The function has no more instances than desired. */
    void onNoSurplus(Function function) {
        surplusSince.remove(function);
    }

    /** The function has more instances than desired; retires one if the surplus lasts. */
    void onSurplus(Function function, int available, double now) {
        double since = surplusSince.computeIfAbsent(function, f -> now);
        double delay = available == 1 ? 0 : SURPLUS_DELAY_START_TIMES * function.startTime;
        if (now < since + delay) {
            return;
        }
        Instance leastUsed = leastUsedRetirable(function, available, now);
        if (leastUsed != null) {
            actions.drain(leastUsed);
            retiringSince.put(leastUsed, now);
            surplusSince.put(
                    function, now - delay + RETIREMENT_PAUSE_START_TIMES * function.startTime);
        }
    }

    /**
     * The ready instance with the fewest granted slots, or null. The last instance of a function is
     * retired only once it has been unused for long enough.
     */
    private static Instance leastUsedRetirable(Function function, int available, double now) {
        Instance leastUsed = null;
        for (Instance instance : function.instances.values()) {
            boolean isIdle =
                    instance.grantedSlots() == 0
                            && now > instance.lastUsedAt + lastInstanceIdleLimit(function);
            boolean mayRetire = instance.state == Instance.State.READY && (available > 1 || isIdle);
            if (mayRetire
                    && (leastUsed == null || instance.grantedSlots() < leastUsed.grantedSlots())) {
                leastUsed = instance;
            }
        }
        return leastUsed;
    }

    /**
     * How long the last instance of a function may be unused before it is retired: without limit if
     * the next request is expected within the idle time that costs as much as a start. Otherwise
     * not at all, or for one start time while the arrival rate is not known yet.
     */
    private static double lastInstanceIdleLimit(Function function) {
        if (function.arrivals.expectedRate() * StartCost.equivalentIdleTime(function) > 1) {
            return Double.POSITIVE_INFINITY;
        }
        return function.arrivals.isKnown() ? 0 : function.startTime;
    }

    /**
     * Stops retired instances that have drained or whose drain timeout is over, within the rate of
     * calls.
     */
    void stopDrained(double now, TokenBucket callBudget) {
        for (Map.Entry<Instance, Double> entry : List.copyOf(retiringSince.entrySet())) {
            Instance instance = entry.getKey();
            double drainDeadline =
                    entry.getValue() + DRAIN_TIMEOUT_START_TIMES * instance.function.startTime;
            boolean isDrained = instance.grantedSlots() == 0 || now > drainDeadline;
            if (isDrained && callBudget.hasToken()) {
                callBudget.take();
                retiringSince.remove(instance);
                actions.stop(instance.id);
            }
        }
    }
}
