package gingerspool.slots;

import gingerspool.codec.Messages;
import gingerspool.codec.Messages.InstanceCondition;
import gingerspool.configuration.Configuration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Grants each slot of an instance to one scheduler at a time, so that the schedulers together never
 * send an instance more requests than it can run.
 *
 * <p>Invariant: an instance never has more slots granted than it has in total, counting the
 * schedulers that have registered. A scheduler keeps a slot until it returns it. A scheduler whose
 * link is lost keeps its slots for {@link #RECLAIM_DELAY_HEARTBEATS}; if it has not registered
 * again by then, they are free. A new allocator learns the granted slots only from the schedulers
 * as they register, and therefore grants nothing for {@link #REGISTRATION_GRACE_HEARTBEATS}.
 *
 * <p>Owned by the duties of the leader, which pass the current time with each call. For one thread.
 */
public final class SlotAllocator {
    /** How long a scheduler keeps its slots after its link is lost, in heartbeat intervals. */
    private static final double RECLAIM_DELAY_HEARTBEATS = 0.5;

    /** How long no slot of an unreachable instance is granted, in heartbeat intervals. */
    private static final double SUSPECT_HEARTBEATS = 1;

    /** How long schedulers have to register with a new allocator, in heartbeat intervals. */
    private static final double REGISTRATION_GRACE_HEARTBEATS = 0.15;

    /** The short window of the arrival rates, in heartbeat intervals. */
    private static final double RATE_WINDOW_HEARTBEATS = 0.8;

    /** A reported service time enters the moving mean with a weight of 1 / this number. */
    private static final double SERVICE_TIME_SAMPLES = 8;

    /** How the allocator sends its messages to schedulers. */
    public interface Messenger {
        void send(String scheduler, Object message);

        /**
         * Whether slots may be granted and recalled now. It must be false whenever another
         * allocator may be in charge of them.
         */
        default boolean mayGrant() {
            return true;
        }
    }

    /** The session of a scheduler, from its registration until its slots are reclaimed. */
    private static final class Session {
        String zone = "";

        /** When its link was lost; NaN while it is connected. */
        double disconnectedAt = Double.NaN;

        /** The number of grants sent on this link. */
        long grants;
    }

    private final double heartbeatInterval;
    private final Messenger messenger;
    private final FunctionCatalog catalog;

    /** By identifier. */
    private final Map<String, Instance> instances = new LinkedHashMap<>();

    /** By scheduler. */
    private final Map<String, Session> sessions = new LinkedHashMap<>();

    /**
     * By instance, then scheduler: the slots that schedulers reported as they registered, of
     * instances that are not known yet.
     */
    private final Map<String, Map<String, Integer>> slotsOfUnlistedInstances = new HashMap<>();

    /** No slot is granted before this time. */
    private final double grantsAllowedFrom;

    private double now;

    /** Times are milliseconds of a steady clock. */
    public SlotAllocator(double heartbeatInterval, double now, Messenger messenger) {
        this.heartbeatInterval = heartbeatInterval;
        this.messenger = messenger;
        this.now = now;
        catalog = new FunctionCatalog(RATE_WINDOW_HEARTBEATS * heartbeatInterval);
        grantsAllowedFrom = now + REGISTRATION_GRACE_HEARTBEATS * heartbeatInterval;
    }

    public FunctionCatalog catalog() {
        return catalog;
    }

    /** The instance with this identifier, or null. */
    public Instance instance(String id) {
        return instances.get(id);
    }

    public Collection<Instance> instances() {
        return List.copyOf(instances.values());
    }

    /** The number of schedulers that are connected. */
    public int connectedSchedulers() {
        return (int) sessions.values().stream().filter(s -> Double.isNaN(s.disconnectedAt)).count();
    }

    /** The function's requests in flight, by the zone of the scheduler that holds them. */
    public Map<String, Integer> inFlightByZone(Function function) {
        Map<String, Integer> byZone = new HashMap<>();
        function.demands.forEach(
                (scheduler, demand) ->
                        byZone.merge(sessions.get(scheduler).zone, demand.inFlight, Integer::sum));
        return byZone;
    }

    public void configure(Configuration configuration) {
        catalog.configure(configuration);
    }

    // ---- Messages from schedulers ----

    /** A scheduler registered, possibly again. Its report replaces what was known of its slots. */
    public void onRegister(double time, String scheduler, Messages.Register message) {
        now = time;
        reclaim(scheduler);
        Session session = sessions.computeIfAbsent(scheduler, name -> new Session());
        session.zone = message.zone();
        session.disconnectedAt = Double.NaN;
        session.grants = 0;
        message.held().forEach((id, slots) -> grantedSlotsOf(id).put(scheduler, slots));
    }

    /** The granted slots of an instance by scheduler, also for an instance not known yet. */
    private Map<String, Integer> grantedSlotsOf(String id) {
        Instance instance = instances.get(id);
        return instance != null
                ? instance.grantedByScheduler
                : slotsOfUnlistedInstances.computeIfAbsent(id, k -> new HashMap<>());
    }

    /**
     * A scheduler reports all slots that it holds, and how many grants it had received. If no grant
     * is in transit, the report must match the allocator's record. The scheduler is authoritative:
     * a record that differs is replaced by the report. Returns false if anything differed.
     */
    public boolean onHoldings(double time, String scheduler, Messages.SlotHoldings message) {
        now = time;
        Session session = sessions.get(scheduler);
        if (session == null || session.grants != message.grants()) {
            return true;
        }
        boolean matches = true;
        for (Instance instance : instances.values()) {
            Map<String, Integer> grantedSlots = instance.grantedByScheduler;
            Integer reported = message.held().get(instance.id);
            if (!Objects.equals(grantedSlots.get(scheduler), reported)) {
                matches = false;
                grantedSlots.put(scheduler, reported);
                grantedSlots.values().removeIf(Objects::isNull);
            }
        }
        return matches;
    }

    /** The link to a scheduler was lost. */
    public void onDisconnect(double time, String scheduler) {
        now = time;
        Session session = sessions.get(scheduler);
        if (session != null) {
            session.disconnectedAt = now;
            catalog.all().forEach(function -> function.demands.remove(scheduler));
        }
    }

    /** Frees all slots of a scheduler and forgets its demand. */
    private void reclaim(String scheduler) {
        instances.values().forEach(instance -> instance.grantedByScheduler.remove(scheduler));
        slotsOfUnlistedInstances.values().forEach(held -> held.remove(scheduler));
        catalog.all().forEach(function -> function.demands.remove(scheduler));
    }

    /** A scheduler reports its demand for slots of one function. */
    public void onDemand(double time, String scheduler, Messages.SlotDemand message) {
        now = time;
        Function function = catalog.find(message.function());
        if (function == null || !sessions.containsKey(scheduler)) {
            return;
        }
        SchedulerDemand demand =
                function.demands.computeIfAbsent(scheduler, name -> new SchedulerDemand());
        update(function, demand, message);
        grant(function);
        if (demand.missingSlots > 0 && mayGrant()) {
            recall(function);
        }
    }

    /** Updates the demand from a report, as well as the function's arrivals and service time. */
    private void update(Function function, SchedulerDemand demand, Messages.SlotDemand message) {
        // Guards against granting twice: the report does not cover grants still in transit.
        long grantsInTransit = Math.max(0, demand.granted - message.granted());
        boolean wasMissingSlots = demand.missingSlots > 0;
        demand.missingSlots = (int) Math.max(0, message.missing() - grantsInTransit);
        demand.missingSince = wasMissingSlots ? demand.missingSince : now;
        demand.inFlight = message.inFlight();
        function.arrivals.add(now, Math.max(0, message.arrivals() - demand.arrivals));
        demand.arrivals = message.arrivals();
        if (message.serviceTime() > 0) {
            function.serviceTime =
                    function.serviceTime == 0
                            ? message.serviceTime()
                            : function.serviceTime
                                    + (message.serviceTime() - function.serviceTime)
                                            / SERVICE_TIME_SAMPLES;
        }
    }

    /** A scheduler returns slots, possibly none, and reports the condition of the instance. */
    public void onReturn(double time, String scheduler, Messages.SlotReturn message) {
        now = time;
        int slots = message.slots();
        Instance instance = instances.get(message.instance());
        // Guards against leaking slots of an instance that is not known yet: without this, slots
        // returned before it is listed would stay granted for ever.
        Map<String, Integer> grantedSlots =
                instance != null
                        ? instance.grantedByScheduler
                        : slotsOfUnlistedInstances.getOrDefault(
                                message.instance(), new HashMap<>());
        grantedSlots.computeIfPresent(scheduler, (name, n) -> n > slots ? n - slots : null);
        if (instance == null) {
            return;
        }
        SchedulerDemand demand = instance.function.demands.get(scheduler);
        if (demand != null) {
            demand.recalled = Math.max(0, demand.recalled - slots);
        }
        instance.lastUsedAt = now;
        if (message.condition() == InstanceCondition.STARTED
                && instance.state == Instance.State.STARTING) {
            instance.state = Instance.State.READY;
        } else if (message.condition() == InstanceCondition.UNREACHABLE) {
            instance.suspectUntil = now + SUSPECT_HEARTBEATS * heartbeatInterval;
        }
        grant(instance.function);
    }

    // ---- Instances ----

    /** Adds an instance that was started or that appeared in the platform's list. */
    public Instance addInstance(
            double time,
            String id,
            Function function,
            String address,
            String zone,
            String host,
            int slots,
            Instance.State state) {
        now = time;
        Instance instance = new Instance(id, function, address, zone, host, slots, state, now);
        instances.put(id, instance);
        function.instances.put(id, instance);
        Map<String, Integer> reported = slotsOfUnlistedInstances.remove(id);
        if (reported != null) {
            instance.grantedByScheduler.putAll(reported);
        }
        grant(function);
        return instance;
    }

    /** The platform listed the instance as ready. */
    public void markReady(double time, Instance instance) {
        now = time;
        if (instance.state == Instance.State.STARTING) {
            instance.state = Instance.State.READY;
            grant(instance.function);
        }
    }

    /** Stops granting slots of the instance. Requests that run there go on. */
    public void markDraining(double time, Instance instance) {
        now = time;
        if (instance.state != Instance.State.DRAINING) {
            instance.drainingSince = now;
        }
        instance.state = Instance.State.DRAINING;
    }

    /** The instance no longer exists. */
    public void removeInstance(double time, Instance instance) {
        now = time;
        instance.state = Instance.State.DRAINING;
        instances.remove(instance.id);
        instance.function.instances.remove(instance.id);
    }

    // ---- Timer ----

    /**
     * Reclaims the slots of schedulers that have been disconnected for too long, then grants and
     * recalls slots. Called periodically.
     */
    public void tick(double time) {
        now = time;
        for (Map.Entry<String, Session> entry : List.copyOf(sessions.entrySet())) {
            if (now
                    > entry.getValue().disconnectedAt
                            + RECLAIM_DELAY_HEARTBEATS * heartbeatInterval) {
                reclaim(entry.getKey());
                sessions.remove(entry.getKey());
            }
        }
        for (Function function : catalog.all()) {
            function.arrivals.add(now, 0);
            if (!function.demands.isEmpty()) {
                grant(function);
                recall(function);
            }
        }
    }

    // ---- Granting ----

    private boolean mayGrant() {
        return now >= grantsAllowedFrom && messenger.mayGrant();
    }

    private void grant(Function function) {
        while (mayGrant() && grantOne(function)) {
            continue;
        }
    }

    /** Grants one slot to the longest-waiting scheduler; false if none can be granted. */
    private boolean grantOne(Function function) {
        String scheduler = longestWaitingScheduler(function);
        if (scheduler == null) {
            return false;
        }
        Instance instance = select(function, scheduler);
        SchedulerDemand demand = function.demands.get(scheduler);
        instance.grantedByScheduler.merge(scheduler, 1, Integer::sum);
        instance.lastUsedAt = now;
        sessions.get(scheduler).grants++;
        if (instance.state == Instance.State.READY) {
            demand.missingSlots--;
            demand.granted++;
        }
        demand.missingSince = now;
        messenger.send(
                scheduler,
                new Messages.SlotGrant(
                        function.name,
                        instance.id,
                        instance.address,
                        instance.zone,
                        instance.slots,
                        1,
                        instance.remainingStartTime(now),
                        instance.grantedSlots()));
        return true;
    }

    /**
     * Of the schedulers that a slot can be granted to, the one that has waited longest, or null.
     */
    private String longestWaitingScheduler(Function function) {
        String longestWaiting = null;
        double waitingSince = 0;
        for (Map.Entry<String, SchedulerDemand> entry : function.demands.entrySet()) {
            SchedulerDemand demand = entry.getValue();
            boolean hasWaitedLonger = longestWaiting == null || demand.missingSince < waitingSince;
            if (demand.missingSlots > 0
                    && hasWaitedLonger
                    && select(function, entry.getKey()) != null) {
                longestWaiting = entry.getKey();
                waitingSince = demand.missingSince;
            }
        }
        return longestWaiting;
    }

    private Instance select(Function function, String scheduler) {
        return InstanceSelector.select(function, scheduler, sessions.get(scheduler).zone, now);
    }

    private void recall(Function function) {
        RecallPolicy.recall(
                function,
                scheduler -> messenger.send(scheduler, new Messages.SlotRecall(function.name, 1)));
    }

    // ---- For operators ----

    /** The slot usage summed over all functions. */
    public SlotUsage usage() {
        return SlotUsage.of(catalog.all());
    }

    /** Lines for the status page: one for each function with instances or requests in flight. */
    public List<String> status() {
        return catalog.all().stream()
                .filter(function -> !function.instances.isEmpty() || function.inFlight() > 0)
                .map(function -> function.name + " " + SlotUsage.of(function))
                .toList();
    }
}
