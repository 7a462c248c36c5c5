package gingerspool.slots;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Keeps the slots of all instances: gives each to one scheduler at a time, so that all together
 * never send an instance more than it may hold. A scheduler keeps what it was given until it gives
 * it back; one that can't be reached keeps it for a while more. A new keeper knows of slots what
 * schedulers tell as they enrol, and gives nothing until they had the time to. Times are
 * milliseconds of a steady clock.
 */
public final class SlotAllocator {
    /**
     * Schedulers' slots are theirs for so many beats after their link broke: who lives is back by
     * then.
     */
    private static final double KEPT = 0.5;

    /** An instance that nobody reached is left alone for so many beats. */
    private static final double SUSPECT = 1;

    /** Schedulers have this part of a heartbeat to tell a new keeper what they hold. */
    private static final double SETTLE = 0.15;

    /** The newest rates look back over so many beats. */
    private static final double SPAN = 0.8;

    /** Where a keeper sends its messages. */
    public interface Messenger {
        void send(String scheduler, Object message);

        /** Whether slots may be granted and recalled now: nobody else may be their keeper. */
        default boolean mayGrant() {
            return true;
        }
    }

    private static final class Scheduler {
        String zone = "";

        /** NaN while its link stands. */
        double lostAt = Double.NaN;

        /** Grants sent to it on this link. */
        long grants;
    }

    private final double heartbeat;
    private final Messenger messenger;
    private final Map<String, Function> functions = new LinkedHashMap<>();
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Map<String, Scheduler> schedulers = new LinkedHashMap<>();

    /** Held slots of instances that were not known when a scheduler told of them. */
    private final Map<String, Map<String, Integer>> heldBeforeListed = new HashMap<>();

    /** Nothing is given before that. */
    private double grantsFrom;

    private double now;

    public SlotAllocator(double heartbeat, double now, Messenger messenger) {
        this.heartbeat = heartbeat;
        this.messenger = messenger;
        this.now = now;
        grantsFrom = now + SETTLE * heartbeat;
    }

    public Collection<Function> functions() {
        return functions.values();
    }

    public Function function(String name) {
        return functions.get(name);
    }

    /** The same, also where no configuration names it (any more). */
    public Function unrouted(String name) {
        return functions.computeIfAbsent(name, n -> new Function(n, SPAN * heartbeat));
    }

    public Instance instance(String id) {
        return instances.get(id);
    }

    public Collection<Instance> instances() {
        return List.copyOf(instances.values());
    }

    /** Schedulers that are registered now. */
    public int schedulers() {
        return (int) schedulers.values().stream().filter(f -> Double.isNaN(f.lostAt)).count();
    }

    /** Tasks in hand by zone of the schedulers. */
    public Map<String, Integer> demandByZone(Function f) {
        Map<String, Integer> by = new HashMap<>();
        f.demands.forEach(
                (scheduler, d) -> by.merge(schedulers.get(scheduler).zone, d.inHand, Integer::sum));
        return by;
    }

    // ---- Configuration ----

    public void configured(Configuration c) {
        functions.values().forEach(f -> f.routed = false);
        for (Service s : c.getServicesList()) {
            Function f = unrouted(s.getName());
            f.boot = s.getBoot();
            f.concurrency = Math.max(1, s.getConcurrency());
            f.memory = s.getMemory();
            f.aim = Double.POSITIVE_INFINITY;
        }
        for (Route r : c.getRoutesList()) {
            Function f = functions.get(r.getService());
            f.routed = true;
            f.aim = Math.min(f.aim, r.getAim() > 0 ? r.getAim() : Double.POSITIVE_INFINITY);
        }
    }

    // ---- Schedulers ----

    /** A scheduler came, or came back: what it holds it says itself. */
    public void registered(double at, String scheduler, Messages.Register message) {
        now = at;
        drop(scheduler);
        Scheduler f = schedulers.computeIfAbsent(scheduler, k -> new Scheduler());
        f.zone = message.zone();
        f.lostAt = Double.NaN;
        f.grants = 0;
        message.held()
                .forEach(
                        (id, n) -> {
                            Instance i = instances.get(id);
                            if (i != null) {
                                i.held.put(scheduler, n);
                            } else {
                                heldBeforeListed
                                        .computeIfAbsent(id, k -> new HashMap<>())
                                        .put(scheduler, n);
                            }
                        });
    }

    /**
     * All that a scheduler holds once so many grants had come to it. Where none is on its way this
     * is what we must have noted; what differs is mended from it, since it knows best.
     */
    public boolean holds(double at, String scheduler, Messages.SlotHoldings message) {
        now = at;
        Scheduler f = schedulers.get(scheduler);
        if (f == null || f.grants != message.grants()) {
            return true;
        }
        boolean same = true;
        for (Instance i : instances.values()) {
            Integer told = message.held().get(i.id);
            if (!Objects.equals(i.held.get(scheduler), told)) {
                same = false;
                i.held.put(scheduler, told);
                i.held.values().removeIf(Objects::isNull);
            }
        }
        return same;
    }

    /** Its link broke. */
    public void lost(double at, String scheduler) {
        now = at;
        if (schedulers.containsKey(scheduler)) {
            schedulers.get(scheduler).lostAt = now;
            functions.values().forEach(f -> f.demands.remove(scheduler));
        }
    }

    private void drop(String scheduler) {
        instances.values().forEach(i -> i.held.remove(scheduler));
        heldBeforeListed.values().forEach(held -> held.remove(scheduler));
        functions.values().forEach(f -> f.demands.remove(scheduler));
    }

    public void demanded(double at, String scheduler, Messages.SlotDemand message) {
        now = at;
        Function f = functions.get(message.function());
        if (f == null || !schedulers.containsKey(scheduler)) {
            return;
        }
        Function.Demand d = f.demands.computeIfAbsent(scheduler, k -> new Function.Demand());
        int before = d.lacks;
        // Guards against giving twice: what is on its way to the scheduler was not known to it yet.
        d.lacks = (int) Math.max(0, message.lacks() - Math.max(0, d.granted - message.granted()));
        d.since = before == 0 ? now : d.since;
        d.inHand = message.inHand();
        f.arrivals.came(now, Math.max(0, message.came() - d.came));
        d.came = message.came();
        f.run =
                message.run() > 0
                        ? f.run == 0 ? message.run() : f.run + (message.run() - f.run) / 8
                        : f.run;
        give(f);
        if (d.lacks > 0 && now >= grantsFrom && messenger.mayGrant()) {
            recall(f);
        }
    }

    public void returned(double at, String scheduler, Messages.SlotReturn message) {
        now = at;
        Instance i = instances.get(message.instance());
        // Guards slots of instances that the lists have not named yet: else they would be held for
        // ever.
        Map<String, Integer> held =
                i != null
                        ? i.held
                        : heldBeforeListed.getOrDefault(message.instance(), new HashMap<>());
        held.computeIfPresent(
                scheduler, (k, n) -> n > message.slots() ? n - message.slots() : null);
        if (i == null) {
            return;
        }
        Function.Demand d = i.function.demands.get(scheduler);
        if (d != null) {
            d.recalled = Math.max(0, d.recalled - message.slots());
        }
        i.usedAt = now;
        if (message.seen() == Messages.SEEN_UP && i.state == Instance.State.STARTING) {
            i.state = Instance.State.READY;
        } else if (message.seen() == Messages.SEEN_LOST) {
            i.suspectUntil = now + SUSPECT * heartbeat;
        }
        give(i.function);
    }

    // ---- Instances ----

    public Instance add(
            double at,
            String id,
            Function f,
            String address,
            String zone,
            String host,
            int slots,
            Instance.State state) {
        now = at;
        Instance i = new Instance(id, f, address, zone, host, slots, state, now);
        instances.put(id, i);
        f.instances.put(id, i);
        Map<String, Integer> told = heldBeforeListed.remove(id);
        if (told != null) {
            i.held.putAll(told);
        }
        give(f);
        return i;
    }

    public void ready(double at, Instance i) {
        now = at;
        if (i.state == Instance.State.STARTING) {
            i.state = Instance.State.READY;
            give(i.function);
        }
    }

    /** It takes nothing new; what is under way there goes on. */
    public void leaves(double at, Instance i) {
        now = at;
        i.leavingAt = i.state == Instance.State.LEAVING ? i.leavingAt : now;
        i.state = Instance.State.LEAVING;
    }

    public void gone(double at, Instance i) {
        now = at;
        i.state = Instance.State.LEAVING;
        instances.remove(i.id);
        i.function.instances.remove(i.id);
    }

    // ---- Time ----

    public void tick(double at) {
        now = at;
        for (Map.Entry<String, Scheduler> e : List.copyOf(schedulers.entrySet())) {
            if (now > e.getValue().lostAt + KEPT * heartbeat) {
                drop(e.getKey());
                schedulers.remove(e.getKey());
            }
        }
        for (Function f : functions.values()) {
            f.arrivals.came(now, 0);
            if (!f.demands.isEmpty()) {
                give(f);
                recall(f);
            }
        }
    }

    // ---- Giving ----

    private void give(Function f) {
        while (now >= grantsFrom && messenger.mayGrant() && giveOne(f)) {
            continue;
        }
    }

    /** One slot to the scheduler that has lacked for longest. */
    private boolean giveOne(Function f) {
        String who = null;
        for (Map.Entry<String, Function.Demand> e : f.demands.entrySet()) {
            Function.Demand d = e.getValue();
            boolean before = who == null || d.since < f.demands.get(who).since;
            who = d.lacks > 0 && before && pick(f, e.getKey()) != null ? e.getKey() : who;
        }
        if (who == null) {
            return false;
        }
        Instance i = pick(f, who);
        Function.Demand d = f.demands.get(who);
        i.held.merge(who, 1, Integer::sum);
        i.usedAt = now;
        schedulers.get(who).grants++;
        if (i.state == Instance.State.READY) {
            d.lacks--;
            d.granted++;
        }
        d.since = now;
        messenger.send(
                who,
                new Messages.SlotGrant(
                        f.name, i.id, i.address, i.zone, i.slots, 1, i.startsIn(now), i.inHands()));
        return true;
    }

    /**
     * A started instance with a free slot, near ones and empty ones first; else one that starts
     * soonest.
     */
    private Instance pick(Function f, String who) {
        Instance best = null;
        double bestValue = 0;
        int starting = 0;
        for (Instance i : f.instances.values()) {
            starting += i.state == Instance.State.STARTING ? i.held.getOrDefault(who, 0) : 0;
        }
        for (Instance i : f.instances.values()) {
            boolean early = i.state == Instance.State.STARTING;
            if (i.free(now) > 0 && (!early || starting < f.demands.get(who).lacks)) {
                double value =
                        early
                                ? -1 - i.startsIn(now)
                                : (double) i.free(now) / i.slots
                                        + (i.zone.equals(schedulers.get(who).zone) ? 1 : 0);
                if (best == null || value > bestValue) {
                    best = i;
                    bestValue = value;
                }
            }
        }
        return best;
    }

    /**
     * Guards against schedulers that starve: who holds more than its share of what is wanted gives
     * back.
     */
    private void recall(Function f) {
        int slots = 0;
        Map<String, Integer> held = new HashMap<>();
        for (Instance i : f.instances.values()) {
            if (i.state == Instance.State.READY) {
                slots += i.slots;
                i.held.forEach((scheduler, n) -> held.merge(scheduler, n, Integer::sum));
            }
        }
        int wanted = Math.max(1, f.inHand());
        for (Function.Demand poor : List.copyOf(f.demands.values())) {
            if (poor.lacks == 0) {
                continue;
            }
            String rich = null;
            double most = 0;
            for (Map.Entry<String, Integer> e : held.entrySet()) {
                Function.Demand d = f.demands.get(e.getKey());
                double share = d == null ? 0 : (double) slots * d.inHand / wanted;
                double over = e.getValue() - share - (d == null ? 0 : d.recalled);
                if (d != null && d != poor && over > most && over >= 1) {
                    rich = e.getKey();
                    most = over;
                }
            }
            if (rich != null) {
                f.demands.get(rich).recalled++;
                messenger.send(rich, new Messages.SlotRecall(f.name, 1));
            }
        }
    }

    /** What all functions have and lack, or one alone; memory is megabytes. */
    public record Load(int instances, int memory, int slots, int held, int inHand, int lacks) {
        Load and(Load o) {
            return new Load(
                    instances + o.instances,
                    memory + o.memory,
                    slots + o.slots,
                    held + o.held,
                    inHand + o.inHand,
                    lacks + o.lacks);
        }

        @Override
        public String toString() {
            return "instances="
                    + instances
                    + " memory_mb="
                    + memory
                    + " slots="
                    + slots
                    + " held="
                    + held
                    + " in_hand="
                    + inHand
                    + " lacks="
                    + lacks;
        }
    }

    public Load load() {
        return functions.values().stream()
                .map(SlotAllocator::load)
                .reduce(new Load(0, 0, 0, 0, 0, 0), Load::and);
    }

    private static Load load(Function f) {
        int slots = 0;
        int held = 0;
        for (Instance i : f.instances.values()) {
            slots += i.slots;
            held += i.inHands();
        }
        return new Load(
                f.instances.size(),
                f.memory * f.instances.size(),
                slots,
                held,
                f.inHand(),
                f.lacks());
    }

    /** Lines for operators: each function that has instances or tasks. */
    public List<String> status() {
        return functions.values().stream()
                .filter(f -> !f.instances.isEmpty() || f.inHand() > 0)
                .map(f -> f.name + " " + load(f))
                .toList();
    }
}
