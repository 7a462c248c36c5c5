package gingerspool.autoscaler;

import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Retires instances beyond those wanted, one after the other. Load is spread over all instances, so
 * that none might ever be idle: the one with the least work is drained, and stops once no scheduler
 * holds a slot of it.
 */
final class SurplusRetirement {
    /** How long an instance is more than wanted until it retires, in start times. */
    private static final double SURPLUS_DELAY_START_TIMES = 2;

    /** The pause between two that retire, in start times. */
    private static final double RETIREMENT_PAUSE_START_TIMES = 0.5;

    /** How long schedulers have to return the slots of one that retires, in start times. */
    private static final double DRAIN_TIMEOUT_START_TIMES = 20;

    private final Autoscaler.Actions actions;
    private final Map<Function, Double> surplusSince = new HashMap<>();

    /** Instances that retire, and since when. */
    private final Map<Instance, Double> retiringSince = new LinkedHashMap<>();

    SurplusRetirement(Autoscaler.Actions actions) {
        this.actions = actions;
    }

    /** The function has as many instances as are wanted, or fewer. */
    void onNoSurplus(Function function) {
        surplusSince.remove(function);
    }

    /** The function has so many instances, more than are wanted. */
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
     * How long the last instance of a function is kept unused: for good where the next request is
     * awaited within the time that a start is worth; else not at all, or for one start time where
     * the rate isn't known yet.
     */
    private static double lastInstanceIdleLimit(Function function) {
        if (function.arrivals.expectedRate() * StartCost.equivalentIdleTime(function) > 1) {
            return Double.POSITIVE_INFINITY;
        }
        return function.arrivals.isKnown() ? 0 : function.startTime;
    }

    /** Stops the retired ones of which no scheduler holds a slot, within the platform's rate. */
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
