package gingerspool.autoscaler;

import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Brings each function to its desired number of instances: starts missing ones, beginning with the
 * functions that miss the most slots, and retires surplus ones, within the rate of calls that the
 * platform allows. Does nothing until the platform's hosts and instances have both been listed
 * once. Owned by the duties of the leader, for one thread. Times are milliseconds of a steady
 * clock.
 */
public final class Autoscaler {
    /** The share of the platform's rate of calls that the autoscaler uses. */
    private static final double CALL_RATE_SHARE = 0.8;

    /** How long an instance may take to start, in start times, before it no longer counts. */
    private static final double START_TIMEOUT_START_TIMES = 8;

    /**
     * The calls by which the autoscaler acts. Each start must end with a call of started() or
     * startFailed().
     */
    public interface Actions {
        /** The nonce identifies the start, so that a repeated call starts nothing further. */
        void start(Function function, String host, String nonce);

        void stop(String instance);

        /** The instance must be given no new requests. */
        void drain(Instance instance);
    }

    /** A start that was requested and has not been answered yet. */
    private record PendingStart(Function function, WorkerHost host) {}

    private final SlotAllocator allocator;
    private final double listDelay;
    private final String noncePrefix;
    private final Actions actions;
    private final CapacityPlan plan = new CapacityPlan();
    private final SurplusRetirement retirement;
    private final TokenBucket callBudget;

    /** By name. */
    private final Map<String, WorkerHost> hosts = new LinkedHashMap<>();

    /** By nonce. */
    private final Map<String, PendingStart> pendingStarts = new LinkedHashMap<>();

    private long lastNonceNumber;
    private double now;
    private boolean hostsKnown;
    private boolean instancesKnown;

    /**
     * An autoscaler for one term of a leader.
     *
     * @param callsPerSecond the rate of calls that the platform allows
     * @param listDelay how far the platform's lists may lag behind, in milliseconds
     * @param noncePrefix makes the nonces of this autoscaler unique
     */
    public Autoscaler(
            SlotAllocator allocator,
            double callsPerSecond,
            double listDelay,
            String noncePrefix,
            double now,
            Actions actions) {
        this.allocator = allocator;
        this.listDelay = listDelay;
        this.noncePrefix = noncePrefix;
        this.actions = actions;
        retirement = new SurplusRetirement(actions);
        callBudget = new TokenBucket(CALL_RATE_SHARE * callsPerSecond / 1000, now);
    }

    // ---- Reports from the platform ----

    /** A list of hosts begins. Hosts that are not on it get no starts. */
    public void beginHosts() {
        hosts.values().forEach(host -> host.isReady = false);
    }

    /** Adds one entry of the list of hosts. */
    public void addHost(
            String name, String zone, double memoryMb, double freeMemoryMb, boolean isReady) {
        WorkerHost host = hosts.computeIfAbsent(name, k -> new WorkerHost(name, zone));
        host.memoryMb = memoryMb;
        host.freeMemoryMb = freeMemoryMb;
        host.isReady = isReady;
    }

    /**
     * The list of hosts is complete. Since it lags behind, the memory of instances that were
     * started recently is deducted here.
     */
    public void endHosts() {
        hostsKnown = true;
        for (Instance instance : allocator.instances()) {
            if (instance.state == Instance.State.STARTING && now < instance.createdAt + listDelay) {
                findOrAddHost(instance.host).freeMemoryMb -= instance.function.memoryMb;
            }
        }
        pendingStarts.values().forEach(start -> start.host.freeMemoryMb -= start.function.memoryMb);
    }

    private WorkerHost findOrAddHost(String name) {
        return hosts.computeIfAbsent(name, k -> new WorkerHost(name, ""));
    }

    /** The list of instances has been read completely. */
    public void instancesListed() {
        instancesKnown = true;
    }

    /** The platform started an instance. */
    public void started(double time, String nonce, String id, String address) {
        now = time;
        PendingStart start = pendingStarts.remove(nonce);
        if (start != null && allocator.instance(id) == null) {
            allocator.addInstance(
                    now,
                    id,
                    start.function,
                    address,
                    start.host.zone,
                    start.host.name,
                    start.function.concurrency,
                    Instance.State.STARTING);
        }
    }

    /**
     * A start was rejected or not answered. If the host has no room, nothing more is started there
     * until it is listed again.
     */
    public void startFailed(double time, String nonce, boolean hasNoRoom) {
        now = time;
        PendingStart start = pendingStarts.remove(nonce);
        if (start != null && hasNoRoom) {
            start.host.freeMemoryMb = 0;
        } else if (start != null) {
            start.host.freeMemoryMb += start.function.memoryMb;
        }
    }

    // ---- Scaling ----

    /** Starts, drains and stops instances as needed. Called periodically. */
    public void tick(double time) {
        now = time;
        callBudget.refill(now);
        if (!hostsKnown || !instancesKnown) {
            return;
        }
        plan.observe(allocator.catalog().all());
        List<Function> functionsByMissingSlots = new ArrayList<>(allocator.catalog().all());
        functionsByMissingSlots.sort((a, b) -> Integer.compare(b.missingSlots(), a.missingSlots()));
        functionsByMissingSlots.forEach(this::startMissingInstances);
        functionsByMissingSlots.forEach(this::retireSurplusInstances);
        retirement.stopDrained(now, callBudget);
    }

    private void startMissingInstances(Function function) {
        int desired = plan.desiredInstances(function);
        int available = availableInstances(function);
        while (available < desired && callBudget.hasToken() && start(function)) {
            available++;
        }
    }

    private void retireSurplusInstances(Function function) {
        int available = availableInstances(function);
        if (available <= plan.desiredInstances(function)) {
            retirement.onNoSurplus(function);
        } else {
            retirement.onSurplus(function, available, now);
        }
    }

    /** The instances that serve requests or are expected to, including pending starts. */
    private int availableInstances(Function function) {
        int available = 0;
        for (Instance instance : function.instances.values()) {
            boolean isUsable =
                    instance.state != Instance.State.DRAINING
                            && !hasStartTimedOut(instance)
                            && !instance.isSuspect(now);
            available += isUsable ? 1 : 0;
        }
        for (PendingStart start : pendingStarts.values()) {
            available += start.function == function ? 1 : 0;
        }
        return available;
    }

    private boolean hasStartTimedOut(Instance instance) {
        double timeout = START_TIMEOUT_START_TIMES * instance.function.startTime + listDelay;
        return instance.state == Instance.State.STARTING && now > instance.createdAt + timeout;
    }

    /** Requests the start of one more instance; false if no host has room. */
    private boolean start(Function function) {
        WorkerHost host = chooseHost(function);
        if (host == null) {
            return false;
        }
        callBudget.take();
        host.freeMemoryMb -= function.memoryMb;
        String nonce = noncePrefix + ++lastNonceNumber;
        pendingStarts.put(nonce, new PendingStart(function, host));
        actions.start(function, host.name, nonce);
        return true;
    }

    private WorkerHost chooseHost(Function function) {
        Placement placement = new Placement(function, allocator.inFlightByZone(function));
        for (PendingStart start : pendingStarts.values()) {
            if (start.function == function) {
                placement.countInstance(start.host.zone, start.host.name);
            }
        }
        return placement.choose(hosts.values());
    }
}
