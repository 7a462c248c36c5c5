package gingerspool.simulation;

import gingerspool.autoscaler.Autoscaler;
import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.peers.DecisionTrace;
import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Slots and scaling in memory: a keeper and a scaler that move from leader to leader, schedulers
 * whose words take their time and whose links break, a platform with a late list, lost answers,
 * crashes and refusals; by seed. The record of who runs what is its own. what() of a history: what
 * is wrong with it, or null.
 */
final class SlotSimulation {
    static final double HEARTBEAT = 1200;
    private static final double LIST_DELAY = 800;
    private static final double START_TIME = 500;
    private static final int SLOTS = 2;
    private static final int SCHEDULERS = 4;
    private static final List<String> FUNCTIONS = List.of("f", "g", "h");

    /** After a trouble, counts may differ for as long as rules allow. */
    private static final double UNSETTLED = 4000;

    private record Event(double at, long serial, Runnable what) {}

    /** A copy as the platform runs it. */
    private static final class ModelInstance {
        final String id;
        final String function;
        final String host;
        double startsAt;
        double endedAt = Double.POSITIVE_INFINITY;
        int running;

        ModelInstance(String id, String function, String host) {
            this.id = id;
            this.function = function;
            this.host = host;
        }
    }

    /** A scheduler: what it holds and uses by copy, and who waits by function. */
    private final class ModelScheduler {
        final String name;
        boolean isRegistered;

        /** Messages of an older link or life are lost. */
        long link;

        long grants;
        double lastMessageAt;
        final Map<String, Integer> held = new LinkedHashMap<>();
        Map<String, Integer> used = new HashMap<>();
        final Map<String, ArrayDeque<Double>> waits = new HashMap<>();
        final Map<String, Long> granted = new HashMap<>();
        final Map<String, Long> came = new HashMap<>();

        ModelScheduler(String name) {
            this.name = name;
            FUNCTIONS.forEach(f -> waits.put(f, new ArrayDeque<>()));
        }

        /** Messages go in order, each link's in its time. */
        void toAllocator(Runnable toKeeper) {
            if (!isRegistered) {
                return;
            }
            long of = link;
            lastMessageAt = Math.max(lastMessageAt, now + 0.3 + 2 * random.nextDouble());
            at(
                    lastMessageAt,
                    () -> {
                        if (link == of) {
                            toKeeper.run();
                        }
                    });
        }

        void register() {
            isRegistered = true;
            grants = 0;
            granted.clear();
            came.clear();
            Messages.Register message = new Messages.Register(name, "z", 0, Map.copyOf(held));
            toAllocator(() -> allocator.onRegister(now, name, message));
            FUNCTIONS.forEach(this::want);
            held.keySet().stream().toList().forEach(this::idle);
        }

        void disconnect() {
            link++;
            if (isRegistered) {
                isRegistered = false;
                allocator.onDisconnect(now, name);
            }
            after(
                    20 + random.nextInt(280),
                    () -> {
                        if (!isRegistered) {
                            register();
                        }
                    });
        }

        void restart() {
            held.clear();
            used = new HashMap<>();
            waits.values().forEach(ArrayDeque::clear);
            disconnect();
        }

        void want(String f) {
            int inHand =
                    waits.get(f).size()
                            + used.entrySet().stream()
                                    .filter(e -> modelInstances.get(e.getKey()).function.equals(f))
                                    .mapToInt(Map.Entry::getValue)
                                    .sum();
            Messages.SlotDemand w =
                    new Messages.SlotDemand(
                            f,
                            waits.get(f).size(),
                            granted.getOrDefault(f, 0L),
                            inHand,
                            came.getOrDefault(f, 0L),
                            60);
            toAllocator(() -> allocator.onDemand(now, name, w));
        }

        void request(String f) {
            came.merge(f, 1L, Long::sum);
            waits.get(f).add(now);
            serve(f);
            want(f);
        }

        void grant(Messages.SlotGrant g) {
            grants++;
            held.merge(g.instance(), g.slots(), Integer::sum);
            if (g.startsIn() > 0) {
                awaitStart(g.instance(), link);
            } else {
                granted.merge(g.function(), (long) g.slots(), Long::sum);
            }
            serve(g.function());
            idle(g.instance());
        }

        void awaitStart(String id, long of) {
            ModelInstance c = modelInstances.get(id);
            if (of == link && now >= c.startsAt && now < c.endedAt) {
                toAllocator(
                        () ->
                                allocator.onReturn(
                                        now,
                                        name,
                                        new Messages.SlotReturn(
                                                id, 0, Messages.InstanceCondition.STARTED)));
                serve(c.function);
                idle(id);
            } else if (of == link) {
                after(15, () -> awaitStart(id, of));
            }
        }

        void serve(String f) {
            for (String id : held.keySet().stream().toList()) {
                ModelInstance c = modelInstances.get(id);
                while (c.function.equals(f)
                        && !waits.get(f).isEmpty()
                        && now >= c.startsAt
                        && held.getOrDefault(id, 0) > used.getOrDefault(id, 0)) {
                    waits.get(f).poll();
                    use(c);
                }
            }
        }

        void use(ModelInstance c) {
            if (now >= c.endedAt) {
                back(
                        c.id,
                        held.get(c.id) - used.getOrDefault(c.id, 0),
                        Messages.InstanceCondition.UNREACHABLE);
                waits.get(c.function).add(now);
                after(1, () -> want(c.function));
                return;
            }
            used.merge(c.id, 1, Integer::sum);
            c.running++;
            wrong(c.running > SLOTS && now > unsettledUntil, c.running + " run at once at " + c.id);
            served++;
            Map<String, Integer> mine = used;
            after(
                    20 + random.nextInt(120),
                    () -> {
                        c.running--;
                        if (mine.merge(c.id, -1, Integer::sum) == 0) {
                            mine.remove(c.id);
                        }
                        serve(c.function);
                        idle(c.id);
                        if (mine == used) {
                            want(c.function);
                        }
                    });
        }

        /** What is not used goes back after a while, or at once. */
        void idle(String id) {
            after(
                    random.nextBoolean() ? 0 : random.nextInt(300),
                    () -> {
                        int n = held.getOrDefault(id, 0) - used.getOrDefault(id, 0);
                        ModelInstance c = modelInstances.get(id);
                        boolean starting = now < c.startsAt && !waits.get(c.function).isEmpty();
                        if (n > 0 && isRegistered && !starting) {
                            back(id, n, Messages.InstanceCondition.HEALTHY);
                        } else if (n > 0) {
                            after(START_TIME, () -> idle(id));
                        }
                    });
        }

        void back(String id, int n, Messages.InstanceCondition seen) {
            if (isRegistered && n > 0) {
                held.computeIfPresent(id, (k, h) -> h > n ? h - n : null);
                toAllocator(
                        () -> {
                            // As it was before it was mended: what comes back before the list names
                            // it was dropped.
                            boolean dropped =
                                    without != Without.NOTHING && allocator.instance(id) == null;
                            if (!dropped) {
                                allocator.onReturn(now, name, new Messages.SlotReturn(id, n, seen));
                            }
                        });
            }
        }

        void holds() {
            if (isRegistered && without != Without.EARLY_BACKS_AND_HOLDS) {
                Messages.SlotHoldings message = new Messages.SlotHoldings(grants, Map.copyOf(held));
                toAllocator(() -> differed += allocator.onHoldings(now, name, message) ? 0 : 1);
            }
            after(4 * HEARTBEAT, this::holds);
        }
    }

    /** What a history can be played without. */
    enum Without {
        NOTHING,
        EARLY_BACKS,
        EARLY_BACKS_AND_HOLDS
    }

    private final SplittableRandom random;
    private final Without without;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::serial));
    private long serial;
    private double now;
    private SlotAllocator allocator;
    private Autoscaler autoscaler;
    private long term;
    private final Map<String, ModelScheduler> fronts = new LinkedHashMap<>();
    private final Map<String, ModelInstance> modelInstances = new LinkedHashMap<>();
    private final Map<String, ModelInstance> byNonce = new HashMap<>();
    private final Map<String, Double> missingSince = new HashMap<>();
    private double unsettledUntil;
    private boolean calm;
    private int served;
    int differed;
    private String wrong;

    /** Null unless traced. */
    private DecisionTrace trace;

    SlotSimulation(long seed, Without without) {
        random = new SplittableRandom(seed);
        this.without = without;
        for (int i = 0; i < SCHEDULERS; i++) {
            fronts.put("front-" + i, new ModelScheduler("front-" + i));
        }
    }

    private void at(double when, Runnable what) {
        events.add(new Event(when, serial++, what));
    }

    private void after(double span, Runnable what) {
        at(now + span, what);
    }

    private void wrong(boolean is, String what) {
        wrong = is && wrong == null ? what + " at " + Math.round(now) : wrong;
    }

    // ---- The leader ----

    private void electLeader() {
        long of = ++term;
        allocator = new SlotAllocator(HEARTBEAT, now, (front, message) -> tell(of, front, message));
        allocator.configure(configuration());
        autoscaler =
                new Autoscaler(
                        allocator,
                        100,
                        LIST_DELAY,
                        of + "-",
                        now,
                        new Autoscaler.Actions() {
                            @Override
                            public void start(Function f, String host, String nonce) {
                                decided("start", f.name, host, nonce);
                                begin(of, f.name, host, nonce, 1);
                            }

                            @Override
                            public void stop(String instance) {
                                decided("stop", instance);
                                end(instance);
                            }

                            @Override
                            public void drain(Instance i) {
                                decided("leaves", i.id);
                                allocator.markDraining(now, i);
                                fronts.values().forEach(f -> f.idle(i.id));
                            }
                        });
        fronts.values()
                .forEach(
                        f -> {
                            f.isRegistered = false;
                            f.disconnect();
                        });
        after(5 + random.nextInt(300), () -> list(of));
        look(of);
    }

    private static Configuration configuration() {
        Configuration.Builder c = Configuration.newBuilder();
        for (String f : FUNCTIONS) {
            c.addServices(
                    Service.newBuilder()
                            .setName(f)
                            .setBoot((long) START_TIME)
                            .setConcurrency(SLOTS)
                            .setMemory(128));
            c.addRoutes(Route.newBuilder().setName(f).setService(f).setAim(1000));
        }
        return c.build();
    }

    /** All that the keeper and the scaler decide from now on. */
    DecisionTrace traced() {
        trace = new DecisionTrace();
        return trace;
    }

    private void decided(String what, Object... values) {
        if (trace != null) {
            trace.add(now, what, values);
        }
    }

    private void tell(long of, String front, Object message) {
        decided(message.getClass().getSimpleName(), front, message);
        ModelScheduler f = fronts.get(front);
        long link = f.link;
        // In order as well: a constant way there.
        after(
                1,
                () -> {
                    if (of == term && link == f.link && message instanceof Messages.SlotGrant g) {
                        f.grant(g);
                    }
                });
    }

    private void look(long of) {
        if (of == term) {
            allocator.tick(now);
            autoscaler.tick(now);
            after(50, () -> look(of));
        }
    }

    // ---- The platform ----

    private void begin(long of, String function, String host, String nonce, int tries) {
        if (of != term) {
            return;
        }
        boolean refused = random.nextInt(20) == 0;
        boolean lost = random.nextInt(10) == 0;
        ModelInstance c = byNonce.get(nonce);
        if (c == null && !refused) {
            c = new ModelInstance("i" + modelInstances.size(), function, host);
            c.startsAt = now + START_TIME * (0.7 + 0.6 * random.nextDouble());
            modelInstances.put(c.id, c);
            byNonce.put(nonce, c);
        }
        String id = c == null ? null : c.id;
        after(
                5 + random.nextInt(30),
                () -> {
                    if (of != term) {
                        return;
                    }
                    if (lost && tries < 4) {
                        after(50, () -> begin(of, function, host, nonce, tries + 1));
                    } else if (id == null || lost) {
                        autoscaler.startFailed(now, nonce, random.nextBoolean());
                    } else {
                        autoscaler.started(now, nonce, id, "10.0.0.1:1");
                    }
                });
    }

    private void end(String id) {
        ModelInstance c = modelInstances.get(id);
        wrong(
                c.running > 0 && now < c.endedAt && now > unsettledUntil,
                id + " was stopped under work");
        c.endedAt = Math.min(c.endedAt, now);
    }

    private boolean listed(ModelInstance c) {
        return now > c.startsAt + LIST_DELAY && now < c.endedAt + LIST_DELAY;
    }

    private void list(long of) {
        if (of != term) {
            return;
        }
        autoscaler.beginHosts();
        for (String h : List.of("h1", "h2")) {
            long here =
                    modelInstances.values().stream()
                            .filter(c -> c.host.equals(h) && now < c.endedAt)
                            .count();
            autoscaler.addHost(h, "z", 16_384, 16_384 - 128 * here, true);
        }
        autoscaler.endHosts();
        for (ModelInstance c : modelInstances.values()) {
            Instance i = allocator.instance(c.id);
            if (listed(c) && i == null) {
                allocator.addInstance(
                        now,
                        c.id,
                        allocator.catalog().findOrAdd(c.function),
                        "10.0.0.1:1",
                        "z",
                        c.host,
                        SLOTS,
                        Instance.State.READY);
            } else if (listed(c)) {
                missingSince.remove(c.id);
                allocator.markReady(now, i);
            } else if (i != null && now > c.startsAt + LIST_DELAY) {
                allocator.removeInstance(now, i);
            }
        }
        autoscaler.instancesListed();
        after(400, () -> list(of));
    }

    // ---- Troubles ----

    private void requests() {
        if (!calm) {
            ModelScheduler f = new ArrayList<>(fronts.values()).get(random.nextInt(SCHEDULERS));
            f.request(FUNCTIONS.get(Math.min(random.nextInt(6), 2)));
            after(-Math.log(1 - random.nextDouble()) * 40, this::requests);
        }
    }

    private void fault() {
        if (calm) {
            return;
        }
        ModelScheduler f = new ArrayList<>(fronts.values()).get(random.nextInt(SCHEDULERS));
        unsettledUntil = now + UNSETTLED;
        switch (random.nextInt(4)) {
            case 0 -> electLeader();
            case 1 -> f.disconnect();
            case 2 -> f.restart();
            default ->
                    modelInstances.values().stream()
                            .filter(c -> now >= c.startsAt && now < c.endedAt)
                            .findFirst()
                            .ifPresent(c -> c.endedAt = now);
        }
        after(6000 + random.nextInt(4000), this::fault);
    }

    /** Plays so long with troubles, then lets all rest, and tells what is wrong, or null. */
    String play(double span) {
        electLeader();
        fronts.values().forEach(ModelScheduler::holds);
        after(1000, this::requests);
        after(3000, this::fault);
        run(span);
        calm = true;
        run(now + 25_000);
        wrong(served < span / 100, "only " + served + " were served");
        fronts.values()
                .forEach(
                        f ->
                                f.waits.forEach(
                                        (name, q) ->
                                                wrong(
                                                        !q.isEmpty(),
                                                        q.size()
                                                                + " wait for "
                                                                + name
                                                                + " at "
                                                                + f.name)));
        for (Instance i : allocator.instances()) {
            wrong(
                    i.grantedSlots() > 0,
                    i.id + " has " + i.grantedSlots() + " slots in nobody's hands");
        }
        wrong(
                without == Without.NOTHING && differed > 0,
                "what is noted differed " + differed + " times");
        long alive = modelInstances.values().stream().filter(c -> now < c.endedAt).count();
        wrong(alive > 0, alive + " copies idle on for nobody");
        return wrong;
    }

    private void run(double until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
        }
        now = until;
    }
}
