package gingerspool.autoscaler;

import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Chooses the host for the next instance of a function. Prefers the zone with the most requests in
 * flight per instance, then hosts with few instances of the function, then hosts with much free
 * memory. Used by the autoscaler for a single start.
 */
final class Placement {
    /** Subtracted from a host's score for each instance of the function on it. */
    private static final double SAME_HOST_PENALTY = 0.1;

    /** Added to a host's score in proportion to its share of free memory. */
    private static final double FREE_MEMORY_BONUS = 0.05;

    private final Function function;
    private final Map<String, Integer> inFlightByZone;
    private final Map<String, Integer> instancesByZone = new HashMap<>();
    private final Map<String, Integer> instancesByHost = new HashMap<>();

    Placement(Function function, Map<String, Integer> inFlightByZone) {
        this.function = function;
        this.inFlightByZone = inFlightByZone;
        for (Instance instance : function.instances.values()) {
            countInstance(instance.zone, instance.host);
        }
    }

    /** Counts an instance of the function that is on this host or being started there. */
    void countInstance(String zone, String host) {
        instancesByZone.merge(zone, 1, Integer::sum);
        instancesByHost.merge(host, 1, Integer::sum);
    }

    /** The best host that is ready and has enough free memory, or null. */
    WorkerHost choose(Collection<WorkerHost> hosts) {
        WorkerHost best = null;
        double bestScore = 0;
        for (WorkerHost host : hosts) {
            if (host.isReady && host.freeMemoryMb >= function.memoryMb) {
                double score = score(host);
                if (best == null || score > bestScore) {
                    best = host;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private double score(WorkerHost host) {
        double demand = 1.0 + inFlightByZone.getOrDefault(host.zone, 0);
        double supply = 1 + instancesByZone.getOrDefault(host.zone, 0);
        return demand / supply
                - SAME_HOST_PENALTY * instancesByHost.getOrDefault(host.name, 0)
                + FREE_MEMORY_BONUS * host.freeMemoryMb / Math.max(1, host.memoryMb);
    }
}
