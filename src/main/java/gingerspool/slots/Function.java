package gingerspool.slots;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A service of the configuration for which the system starts instances: its settings, its instances
 * and its load. Owned by the leader's allocator and used on its thread only. Times are
 * milliseconds.
 */
public final class Function {
    public final String name;

    /** The mean time that an instance takes to start. */
    public double startTime;

    /** The number of requests that one instance can run at once. */
    public int concurrency;

    public int memoryMb;

    /**
     * The shortest latency target of its routes, or of its last ones if it has none any more;
     * infinite if no route has one.
     */
    public double targetLatency = Double.POSITIVE_INFINITY;

    /** Whether any route refers to it. Requests that arrived before may still be in flight. */
    public boolean isRouted;

    /** By identifier. */
    public final Map<String, Instance> instances = new LinkedHashMap<>();

    /** By scheduler. */
    final Map<String, SchedulerDemand> demands = new LinkedHashMap<>();

    public final ArrivalRate arrivals;

    /** The mean running time of a request as reported by schedulers; 0 if none has reported one. */
    public double serviceTime;

    /** The rate window is the short window of its arrival rate, in milliseconds. */
    Function(String name, double rateWindow) {
        this.name = name;
        arrivals = new ArrivalRate(rateWindow);
    }

    /** The requests that schedulers hold, waiting or running. */
    public int inFlight() {
        int sum = 0;
        for (SchedulerDemand demand : demands.values()) {
            sum += demand.inFlight;
        }
        return sum;
    }

    /** The slots that requests are waiting for, over all schedulers. */
    public int missingSlots() {
        int sum = 0;
        for (SchedulerDemand demand : demands.values()) {
            sum += demand.missingSlots;
        }
        return sum;
    }
}
