package gingerspool.autoscaler;

import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the instances that are against those that are wanted: starts what is missing, functions
 * that miss most first, and retires what is too much, all within the platform's rate of calls. Does
 * nothing until the hosts and the instances were listed once. Times are milliseconds of a steady
 * clock.
 */
public final class Autoscaler {
    /** The part of the platform's rate of calls that is used. */
    private static final double CALL_RATE_SHARE = 0.8;

    /** A start that has not shown for so many start times is given up. */
    private static final double START_TIMEOUT_START_TIMES = 8;

    /**
     * What an autoscaler calls to act. Each start ends with a call of started() or startFailed().
     */
    public interface Actions {
        /** The same nonce is the same start. */
        void start(Function function, String host, String nonce);

        void stop(String instance);

        /** Nothing new may go to this instance. */
        void drain(Instance instance);
    }

    /** A start that was asked for and not answered. */
    private record PendingStart(Function function, WorkerHost host) {}

    private final SlotAllocator allocator;
    private final double listDelay;
    private final String noncePrefix;
    private final Actions actions;
    private final CapacityPlan plan = new CapacityPlan();
    private final SurplusRetirement retirement;
    private final TokenBucket callBudget;
    private final Map<String, WorkerHost> hosts = new LinkedHashMap<>();

    /** By nonce. */
    private final Map<String, PendingStart> pendingStarts = new LinkedHashMap<>();

    private long lastNonceNumber;
    private double now;
    private boolean hostsKnown;
    private boolean instancesKnown;

    /**
     * An autoscaler of one leader's term.
     *
     * @param callsPerSecond calls of the platform that are allowed
     * @param listDelay how late the platform's lists are
     * @param noncePrefix makes this autoscaler's nonces its own
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

    // ---- What the platform says ----

    /** A list of hosts begins: one that is not on it takes no starts. */
    public void beginHosts() {
        hosts.values().forEach(host -> host.isReady = false);
    }

    /** One entry of the list; memory is megabytes. */
    public void addHost(
            String name, String zone, double memoryMb, double freeMemoryMb, boolean isReady) {
        WorkerHost host = hosts.computeIfAbsent(name, k -> new WorkerHost(name, zone));
        host.memoryMb = memoryMb;
        host.freeMemoryMb = freeMemoryMb;
        host.isReady = isReady;
    }

    /** The list is complete. It is late: what was started since is not in it yet. */
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

    /** The complete list of instances was read. */
    public void instancesListed() {
        instancesKnown = true;
    }

    /** A start was carried out. */
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

    /** A start was rejected, or had no answer; without room nothing more is started there. */
    public void startFailed(double time, String nonce, boolean hasNoRoom) {
        now = time;
        PendingStart start = pendingStarts.remove(nonce);
        if (start != null && hasNoRoom) {
            start.host.freeMemoryMb = 0;
        } else if (start != null) {
            start.host.freeMemoryMb += start.function.memoryMb;
        }
    }

    // ---- The difference ----

    /** Starts and stops what is due. */
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

    /** Instances that serve or are expected to, starts that were asked for included. */
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

    /** Asks for one more instance; false where no host has room. */
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
