package gingerspool.autoscaler;

import gingerspool.slots.Function;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** How many instances the load of each function asks for. */
final class CapacityPlan {
    /** This share of requests may wait for a slot for longer than their target allows. */
    private static final double MAX_LATE_SHARE = 0.02;

    /** Few starts take longer than so many times their mean. */
    private static final double SLOW_START_FACTOR = 1.4;

    /** The service time where none was seen of any such function, in parts of the target. */
    private static final double DEFAULT_SERVICE_TIME_SHARE = 0.2;

    /** The longest target that the first service time is taken from, in milliseconds. */
    private static final double DEFAULT_SERVICE_TIME_MAX_TARGET_MS = 1000;

    /** Waiting for a slot may take this part of the latency target. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** Mean service time by size of function. */
    private final Map<String, Double> meanServiceTimeBySizeClass = new HashMap<>();

    /**
     * Notes the service times seen. Guards first requests of rare functions: until one has run,
     * others of its size tell how long it takes.
     */
    void observe(Collection<Function> functions) {
        Map<String, Integer> functionsBySizeClass = new HashMap<>();
        meanServiceTimeBySizeClass.clear();
        for (Function function : functions) {
            if (function.serviceTime > 0) {
                String sizeClass = sizeClass(function);
                int count = functionsBySizeClass.merge(sizeClass, 1, Integer::sum);
                meanServiceTimeBySizeClass.merge(
                        sizeClass,
                        function.serviceTime,
                        (mean, time) -> mean + (time - mean) / count);
            }
        }
    }

    private static String sizeClass(Function function) {
        return function.memoryMb + " " + function.concurrency + " " + function.targetLatency;
    }

    /** Instances that the function should have now. */
    int desiredInstances(Function function) {
        if (!function.isRouted) {
            return 0;
        }
        double serviceTime = estimatedServiceTime(function);
        double load = function.arrivals.provisioned() * serviceTime;
        double maxWait = Math.max(0, MAX_WAIT_SHARE * function.targetLatency - serviceTime);
        // What waits already is to be worked off within the same span.
        double backlogShare = serviceTime / Math.max(serviceTime, maxWait);
        boolean needsWarmInstances = needsWarmInstances(function, serviceTime);
        // Rare requests are in the rate as well: they are not to be provided for twice.
        double loadWithBacklog =
                needsWarmInstances
                        ? load + function.missingSlots() * backlogShare
                        : Math.max(load, function.inFlight() * backlogShare);
        int desired = needsWarmInstances || function.inFlight() > 0 ? 1 : 0;
        while (desired > 0) {
            int slots = desired * function.concurrency;
            boolean isTooFew =
                    slots < loadWithBacklog
                            || (needsWarmInstances
                                    ? waitsTooLong(slots, load, maxWait / serviceTime)
                                    : startsTooOften(function, slots, load, serviceTime));
            if (!isTooFew) {
                break;
            }
            desired++;
        }
        return desired;
    }

    /** Whether too many requests wait for a slot for longer than this, in service times. */
    private static boolean waitsTooLong(int slots, double load, double maxWaitServiceTimes) {
        return ErlangDelay.probabilityOfWaitOver(slots, load, maxWaitServiceTimes) > MAX_LATE_SHARE;
    }

    /**
     * Where a start is quick enough for the request that needs it, nothing stands ready for chance:
     * one more instance is worth it where requests would else cause starts at a higher price.
     */
    private static boolean startsTooOften(
            Function function, int slots, double load, double serviceTime) {
        double slowStartTime = SLOW_START_FACTOR * function.startTime;
        double startProbability =
                ErlangDelay.probabilityOfWaitOver(slots, load, slowStartTime / serviceTime);
        return function.arrivals.provisioned()
                        * startProbability
                        * StartCost.equivalentIdleTime(function)
                > 1;
    }

    private double estimatedServiceTime(Function function) {
        if (function.serviceTime > 0) {
            return function.serviceTime;
        }
        double defaultServiceTime =
                DEFAULT_SERVICE_TIME_SHARE
                        * Math.min(function.targetLatency, DEFAULT_SERVICE_TIME_MAX_TARGET_MS);
        return meanServiceTimeBySizeClass.getOrDefault(sizeClass(function), defaultServiceTime);
    }

    /** Whether a start would take too long for the first request. */
    private static boolean needsWarmInstances(Function function, double serviceTime) {
        return function.targetLatency < SLOW_START_FACTOR * function.startTime + serviceTime;
    }
}
