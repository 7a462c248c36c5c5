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
 * Grants each slot of an instance to one scheduler at a time, so that all together never send an
 * instance more than it may run.
 *
 * <p>Invariant: the slots granted of an instance are never more than it has, as far as its
 * schedulers have registered. A scheduler keeps a slot until it returns it. One whose link broke
 * keeps all for {@link #RECLAIM_HEARTBEATS}; if it has not registered by then they are free again.
 * A new allocator knows only what schedulers report as they register, and grants nothing for {@link
 * #REPORT_HEARTBEATS}.
 */
public final class SlotAllocator {
    /** How long a scheduler's slots stay its own after its link broke, in heartbeat intervals. */
    private static final double RECLAIM_DELAY_HEARTBEATS = 0.5;

    /** How long an instance that was not reached gets no requests, in heartbeat intervals. */
    private static final double SUSPECT_HEARTBEATS = 1;

    /** How long schedulers have to report to a new allocator, in heartbeat intervals. */
    private static final double REGISTRATION_GRACE_HEARTBEATS = 0.15;

    /** What the newest arrival rates look back over, in heartbeat intervals. */
    private static final double RATE_WINDOW_HEARTBEATS = 0.8;

    /** The weight of a reported service time in the mean is one in so many. */
    private static final double SERVICE_TIME_SAMPLES = 8;

    /** Where an allocator sends its messages. */
    public interface Messenger {
        void send(String scheduler, Object message);

        /** Whether slots may be granted and recalled now: nobody else may be their allocator. */
        default boolean mayGrant() {
            return true;
        }
    }

    /** A scheduler that has registered, until its slots are reclaimed. */
    private static final class Session {
        String zone = "";

        /** NaN while its link stands. */
        double disconnectedAt = Double.NaN;

        /** Grants sent on this link. */
        long grants;
    }

    private final double heartbeatInterval;
    private final Messenger messenger;
    private final FunctionCatalog catalog;
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Map<String, Session> sessions = new LinkedHashMap<>();

    /** By instance, then scheduler: slots reported of instances that no list has named yet. */
    private final Map<String, Map<String, Integer>> slotsOfUnlistedInstances = new HashMap<>();

    /** Nothing is granted before that. */
    private final double grantsAllowedFrom;

    private double now;

    /** The heartbeat interval is in milliseconds. */
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

    /** The instance with this id, or null. */
    public Instance instance(String id) {
        return instances.get(id);
    }

    public Collection<Instance> instances() {
        return List.copyOf(instances.values());
    }

    /** How many schedulers are connected. */
    public int connectedSchedulers() {
        return (int) sessions.values().stream().filter(s -> Double.isNaN(s.disconnectedAt)).count();
    }

    /** Requests in flight by the schedulers' zone. */
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

    // ---- Messages of schedulers ----

    /** A scheduler registered, perhaps again: what it holds is what it reports. */
    public void onRegister(double time, String scheduler, Messages.Register message) {
        now = time;
        reclaim(scheduler);
        Session session = sessions.computeIfAbsent(scheduler, name -> new Session());
        session.zone = message.zone();
        session.disconnectedAt = Double.NaN;
        session.grants = 0;
        message.held().forEach((id, slots) -> grantedSlotsOf(id).put(scheduler, slots));
    }

    /** Granted slots of an instance by scheduler, also before a list has named it. */
    private Map<String, Integer> grantedSlotsOf(String id) {
        Instance instance = instances.get(id);
        return instance != null
                ? instance.grantedByScheduler
                : slotsOfUnlistedInstances.computeIfAbsent(id, k -> new HashMap<>());
    }

    /**
     * All that a scheduler holds once so many grants had come to it. Where no grant is on its way
     * this is what is noted here; what differs is repaired from it, since the scheduler knows best.
     * False where something differed.
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

    /** A scheduler's link broke. */
    public void onDisconnect(double time, String scheduler) {
        now = time;
        Session session = sessions.get(scheduler);
        if (session != null) {
            session.disconnectedAt = now;
            catalog.all().forEach(function -> function.demands.remove(scheduler));
        }
    }

    private void reclaim(String scheduler) {
        instances.values().forEach(instance -> instance.grantedByScheduler.remove(scheduler));
        slotsOfUnlistedInstances.values().forEach(held -> held.remove(scheduler));
        catalog.all().forEach(function -> function.demands.remove(scheduler));
    }

    /** What a scheduler needs of a function now. */
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

    private void update(Function function, SchedulerDemand demand, Messages.SlotDemand message) {
        // Guards against granting twice: what is on its way was not known to the scheduler yet.
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

    /** A scheduler returns slots, perhaps none, and tells how the instance was. */
    public void onReturn(double time, String scheduler, Messages.SlotReturn message) {
        now = time;
        int slots = message.slots();
        Instance instance = instances.get(message.instance());
        // Guards slots of instances that no list has named yet: else they would be held for ever.
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

    /** An instance became known, by its start or by the platform's list. */
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

    /** The platform lists it as ready. */
    public void markReady(double time, Instance instance) {
        now = time;
        if (instance.state == Instance.State.STARTING) {
            instance.state = Instance.State.READY;
            grant(instance.function);
        }
    }

    /** It gets nothing new; what runs there goes on. */
    public void markDraining(double time, Instance instance) {
        now = time;
        if (instance.state != Instance.State.DRAINING) {
            instance.drainingSince = now;
        }
        instance.state = Instance.State.DRAINING;
    }

    /** It has ended. */
    public void removeInstance(double time, Instance instance) {
        now = time;
        instance.state = Instance.State.DRAINING;
        instances.remove(instance.id);
        instance.function.instances.remove(instance.id);
    }

    // ---- Time ----

    /** Reclaims the slots of schedulers that stay away, and grants and recalls what is due. */
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

    /** One slot to the scheduler that has missed one for longest; false where there is none. */
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

    /** The scheduler that has missed a slot for longest, of those that one can be granted to. */
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

    /** What all functions have, hold and miss. */
    public SlotUsage usage() {
        return SlotUsage.of(catalog.all());
    }

    /** Lines of the status page: each function that has instances or requests. */
    public List<String> status() {
        return catalog.all().stream()
                .filter(function -> !function.instances.isEmpty() || function.inFlight() > 0)
                .map(function -> function.name + " " + SlotUsage.of(function))
                .toList();
    }
}
