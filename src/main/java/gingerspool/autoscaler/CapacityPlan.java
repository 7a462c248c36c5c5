package gingerspool.autoscaler;

import gingerspool.slots.Function;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** How many instances the load of each function asks for. */
final class CapacityPlan {
    /** This share of requests may wait for a slot for longer than their target allows. */
    private static final double LATE_SHARE = 0.02;

    /** Few starts take longer than so many times their mean. */
    private static final double SLOW_START = 1.4;

    /** The service time where none was seen of any such function, in parts of the target. */
    private static final double FIRST_SERVICE_TIME = 0.2;

    /** The longest target that the first service time is taken from, in milliseconds. */
    private static final double FIRST_TARGET_MOST = 1000;

    /** Waiting for a slot may take this part of the latency target. */
    private static final double WAIT_PART = 0.5;

    /** Mean service time by size of function. */
    private final Map<String, Double> serviceTimeBySize = new HashMap<>();

    /**
     * Notes the service times seen. Guards first requests of rare functions: until one has run,
     * others of its size tell how long it takes.
     */
    void observe(Collection<Function> functions) {
        Map<String, Integer> seen = new HashMap<>();
        serviceTimeBySize.clear();
        for (Function function : functions) {
            if (function.serviceTime > 0) {
                String size = size(function);
                int count = seen.merge(size, 1, Integer::sum);
                serviceTimeBySize.merge(
                        size, function.serviceTime, (mean, time) -> mean + (time - mean) / count);
            }
        }
    }

    private static String size(Function function) {
        return function.memoryMb + " " + function.concurrency + " " + function.targetLatency;
    }

    /** Instances that the function should have now. */
    int wantedInstances(Function function) {
        if (!function.isRouted) {
            return 0;
        }
        double serviceTime = serviceTime(function);
        double load = function.arrivals.provisioned() * serviceTime;
        double mayWait = Math.max(0, WAIT_PART * function.targetLatency - serviceTime);
        // What waits already is to be worked off within the same span.
        double workedOffPart = serviceTime / Math.max(serviceTime, mayWait);
        boolean mustStandReady = mustStandReady(function, serviceTime);
        // Rare requests are in the rate as well: they are not to be provided for twice.
        double loadWithBacklog =
                mustStandReady
                        ? load + function.missingSlots() * workedOffPart
                        : Math.max(load, function.inFlight() * workedOffPart);
        int wanted = mustStandReady || function.inFlight() > 0 ? 1 : 0;
        while (wanted > 0) {
            int slots = wanted * function.concurrency;
            boolean isTooFew =
                    slots < loadWithBacklog
                            || (mustStandReady
                                    ? waitsTooLong(slots, load, mayWait / serviceTime)
                                    : startsTooOften(function, slots, load, serviceTime));
            if (!isTooFew) {
                break;
            }
            wanted++;
        }
        return wanted;
    }

    /** Whether too many requests wait for a slot for longer than this, in service times. */
    private static boolean waitsTooLong(int slots, double load, double serviceTimes) {
        return ErlangDelay.probabilityBeyond(slots, load, serviceTimes) > LATE_SHARE;
    }

    /**
     * Where a start is quick enough for the request that needs it, nothing stands ready for chance:
     * one more instance is worth it where requests would else cause starts at a higher price.
     */
    private static boolean startsTooOften(
            Function function, int slots, double load, double serviceTime) {
        double startTime = SLOW_START * function.startTime;
        double needStart = ErlangDelay.probabilityBeyond(slots, load, startTime / serviceTime);
        return function.arrivals.provisioned() * needStart * StartCost.idleTime(function) > 1;
    }

    private double serviceTime(Function function) {
        if (function.serviceTime > 0) {
            return function.serviceTime;
        }
        double first = FIRST_SERVICE_TIME * Math.min(function.targetLatency, FIRST_TARGET_MOST);
        return serviceTimeBySize.getOrDefault(size(function), first);
    }

    /** Whether a start would take too long for the first request. */
    private static boolean mustStandReady(Function function, double serviceTime) {
        return function.targetLatency < SLOW_START * function.startTime + serviceTime;
    }
}
