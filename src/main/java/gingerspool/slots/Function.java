package gingerspool.slots;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One service of the configuration, for which the system starts instances: its settings, its
 * instances and its load. Times are milliseconds.
 */
public final class Function {
    public final String name;

    /** How long an instance takes to start, on average. */
    public double startTime;

    /** Requests that one instance runs at once. */
    public int concurrency;

    public int memoryMb;

    /** The shortest latency target of its routes; infinite where none has one. */
    public double targetLatency;

    /** Whether any route leads to it. */
    public boolean isRouted;

    public final Map<String, Instance> instances = new LinkedHashMap<>();

    /** By scheduler. */
    final Map<String, SchedulerDemand> demands = new LinkedHashMap<>();

    public final ArrivalRate arrivals;

    /** Mean running time of a request as schedulers have seen it, 0 if none has. */
    public double serviceTime;

    /** Its newest arrival rate looks back over this span. */
    Function(String name, double rateWindow) {
        this.name = name;
        arrivals = new ArrivalRate(rateWindow);
    }

    /** Requests that schedulers hold, waiting or running. */
    public int inFlight() {
        int sum = 0;
        for (SchedulerDemand demand : demands.values()) {
            sum += demand.inFlight;
        }
        return sum;
    }

    /** Slots that requests at all schedulers wait for. */
    public int missingSlots() {
        int sum = 0;
        for (SchedulerDemand demand : demands.values()) {
            sum += demand.missingSlots;
        }
        return sum;
    }
}
