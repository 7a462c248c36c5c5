package gingerspool.autoscaler;

import gingerspool.slots.Function;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes how many instances each function needs for its load. Called by the autoscaler. Times are
 * milliseconds.
 */
final class CapacityPlan {
    /** The share of requests that may wait for a slot for longer than their target allows. */
    private static final double MAX_LATE_SHARE = 0.02;

    /** Few starts take longer than this many mean start times. */
    private static final double SLOW_START_FACTOR = 1.4;

    /**
     * The service time assumed if none was observed in a function's size class, as a share of the
     * latency target.
     */
    private static final double DEFAULT_SERVICE_TIME_SHARE = 0.2;

    /** Caps the latency target from which the assumed service time is computed. */
    private static final double DEFAULT_SERVICE_TIME_MAX_TARGET_MS = 1000;

    /** The share of the latency target that waiting for a slot and the service time may take. */
    private static final double MAX_RESPONSE_TIME_SHARE = 0.5;

    /** The mean service time of the functions of each size class. */
    private final Map<String, Double> meanServiceTimeBySizeClass = new HashMap<>();

    /**
     * Records the observed service times. Guards the first requests of rare functions: until one
     * has run, its service time is estimated from other functions of the same size class.
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

    /** Functions with the same memory, concurrency and latency target form a size class. */
    private static String sizeClass(Function function) {
        return function.memoryMb + " " + function.concurrency + " " + function.targetLatency;
    }

    /**
     * The number of instances that the function should have now. Guards requests that were admitted
     * before their route moved away: a function without routes expects no arrivals, but gets what
     * its requests in flight need.
     */
    int desiredInstances(Function function) {
        double serviceTime = estimatedServiceTime(function);
        double arrivalRate = function.isRouted ? function.arrivals.provisionedRate() : 0;
        double load = arrivalRate * serviceTime;
        double maxWait =
                Math.max(0, MAX_RESPONSE_TIME_SHARE * function.targetLatency - serviceTime);
        // The backlog is to be served within the longest wait.
        double backlogShare = serviceTime / Math.max(serviceTime, maxWait);
        boolean needsWarmInstances = function.isRouted && needsWarmInstances(function, serviceTime);
        // Without warm instances, the maximum is taken instead of the sum: requests in flight are
        // part of the arrival rate already, and rare ones must not be counted twice.
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
                                    : startsTooOften(function, slots, arrivalRate, serviceTime));
            if (!isTooFew) {
                break;
            }
            desired++;
        }
        return desired;
    }

    /** Whether too many requests wait for a slot for longer than this many service times. */
    private static boolean waitsTooLong(int slots, double load, double maxWaitServiceTimes) {
        return ErlangDelay.probabilityOfWaitOver(slots, load, maxWaitServiceTimes) > MAX_LATE_SHARE;
    }

    /**
     * Whether one more instance costs less than the starts that it avoids. Decides for functions
     * whose target leaves time for a start, so that they need no spare capacity for their latency.
     */
    private static boolean startsTooOften(
            Function function, int slots, double arrivalRate, double serviceTime) {
        double slowStartTime = SLOW_START_FACTOR * function.startTime;
        double startProbability =
                ErlangDelay.probabilityOfWaitOver(
                        slots, arrivalRate * serviceTime, slowStartTime / serviceTime);
        return arrivalRate * startProbability * StartCost.equivalentIdleTime(function) > 1;
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

    /** Whether a request that has to wait for a start would miss its latency target. */
    private static boolean needsWarmInstances(Function function, double serviceTime) {
        return function.targetLatency < SLOW_START_FACTOR * function.startTime + serviceTime;
    }
}
