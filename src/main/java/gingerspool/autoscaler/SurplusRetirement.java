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
    private static final double SURPLUS_START_TIMES = 2;

    /** The pause between two that retire, in start times. */
    private static final double PAUSE_START_TIMES = 0.5;

    /** How long schedulers have to return the slots of one that retires, in start times. */
    private static final double DRAIN_START_TIMES = 20;

    private final Autoscaler.Actions actions;
    private final Map<Function, Double> surplusSince = new HashMap<>();

    /** Instances that retire, and since when. */
    private final Map<Instance, Double> retiringSince = new LinkedHashMap<>();

    SurplusRetirement(Autoscaler.Actions actions) {
        this.actions = actions;
    }

    /** The function has as many instances as are wanted, or fewer. */
    void noSurplus(Function function) {
        surplusSince.remove(function);
    }

    /** The function has so many instances, more than are wanted. */
    void surplus(Function function, int available, double now) {
        double since = surplusSince.computeIfAbsent(function, f -> now);
        double span = available == 1 ? 0 : SURPLUS_START_TIMES * function.startTime;
        if (now < since + span) {
            return;
        }
        Instance least = leastUsed(function, available, now);
        if (least != null) {
            actions.drain(least);
            retiringSince.put(least, now);
            surplusSince.put(function, now - span + PAUSE_START_TIMES * function.startTime);
        }
    }

    private static Instance leastUsed(Function function, int available, double now) {
        Instance least = null;
        for (Instance instance : function.instances.values()) {
            boolean isIdle =
                    instance.grantedSlots() == 0
                            && now > instance.lastUsedAt + lastIsKeptFor(function);
            boolean mayRetire = instance.state == Instance.State.READY && (available > 1 || isIdle);
            if (mayRetire && (least == null || instance.grantedSlots() < least.grantedSlots())) {
                least = instance;
            }
        }
        return least;
    }

    /**
     * How long the last instance of a function is kept unused: for good where the next request is
     * awaited within the time that a start is worth; else not at all, or for one start time where
     * the rate isn't known yet.
     */
    private static double lastIsKeptFor(Function function) {
        if (function.arrivals.expected() * StartCost.idleTime(function) > 1) {
            return Double.POSITIVE_INFINITY;
        }
        return function.arrivals.isKnown() ? 0 : function.startTime;
    }

    /** Stops the retired ones of which no scheduler holds a slot, within the platform's rate. */
    void stopDrained(double now, TokenBucket calls) {
        for (Map.Entry<Instance, Double> entry : List.copyOf(retiringSince.entrySet())) {
            Instance instance = entry.getKey();
            double drainedBy = entry.getValue() + DRAIN_START_TIMES * instance.function.startTime;
            boolean isDrained = instance.grantedSlots() == 0 || now > drainedBy;
            if (isDrained && calls.hasToken()) {
                calls.take();
                retiringSince.remove(instance);
                actions.stop(instance.id);
            }
        }
    }
}
