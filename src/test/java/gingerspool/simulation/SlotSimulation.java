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
    static final double BEAT = 1200;
    private static final double LAG = 800;
    private static final double BOOT = 500;
    private static final int SLOTS = 2;
    private static final int FRONTS = 4;
    private static final List<String> FUNCTIONS = List.of("f", "g", "h");

    /** After a trouble, counts may differ for as long as rules allow. */
    private static final double UNSETTLED = 4000;

    private record Event(double at, long serial, Runnable what) {}

    /** A copy as the platform runs it. */
    private static final class Copy {
        final String id;
        final String function;
        final String host;
        double startsAt;
        double endedAt = Double.POSITIVE_INFINITY;
        int running;

        Copy(String id, String function, String host) {
            this.id = id;
            this.function = function;
            this.host = host;
        }
    }

    /** A scheduler: what it holds and uses by copy, and who waits by function. */
    private final class Front {
        final String name;
        boolean enrolled;

        /** Messages of an older link or life are lost. */
        long link;

        long grants;
        double lastWord;
        final Map<String, Integer> held = new LinkedHashMap<>();
        Map<String, Integer> used = new HashMap<>();
        final Map<String, ArrayDeque<Double>> waits = new HashMap<>();
        final Map<String, Long> granted = new HashMap<>();
        final Map<String, Long> came = new HashMap<>();

        Front(String name) {
            this.name = name;
            FUNCTIONS.forEach(f -> waits.put(f, new ArrayDeque<>()));
        }

        /** Messages go in order, each link's in its time. */
        void say(Runnable toKeeper) {
            if (!enrolled) {
                return;
            }
            long of = link;
            lastWord = Math.max(lastWord, now + 0.3 + 2 * chance.nextDouble());
            at(
                    lastWord,
                    () -> {
                        if (link == of) {
                            toKeeper.run();
                        }
                    });
        }

        void enrol() {
            enrolled = true;
            grants = 0;
            granted.clear();
            came.clear();
            Messages.Register word = new Messages.Register(name, "z", 0, Map.copyOf(held));
            say(() -> allocator.onRegister(now, name, word));
            FUNCTIONS.forEach(this::want);
            held.keySet().stream().toList().forEach(this::idle);
        }

        void breaks() {
            link++;
            if (enrolled) {
                enrolled = false;
                allocator.onDisconnect(now, name);
            }
            after(
                    20 + chance.nextInt(280),
                    () -> {
                        if (!enrolled) {
                            enrol();
                        }
                    });
        }

        void dies() {
            held.clear();
            used = new HashMap<>();
            waits.values().forEach(ArrayDeque::clear);
            breaks();
        }

        void want(String f) {
            int inHand =
                    waits.get(f).size()
                            + used.entrySet().stream()
                                    .filter(e -> copies.get(e.getKey()).function.equals(f))
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
            say(() -> allocator.onDemand(now, name, w));
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
                knock(g.instance(), link);
            } else {
                granted.merge(g.function(), (long) g.slots(), Long::sum);
            }
            serve(g.function());
            idle(g.instance());
        }

        void knock(String id, long of) {
            Copy c = copies.get(id);
            if (of == link && now >= c.startsAt && now < c.endedAt) {
                say(
                        () ->
                                allocator.onReturn(
                                        now,
                                        name,
                                        new Messages.SlotReturn(
                                                id, 0, Messages.InstanceCondition.STARTED)));
                serve(c.function);
                idle(id);
            } else if (of == link) {
                after(15, () -> knock(id, of));
            }
        }

        void serve(String f) {
            for (String id : held.keySet().stream().toList()) {
                Copy c = copies.get(id);
                while (c.function.equals(f)
                        && !waits.get(f).isEmpty()
                        && now >= c.startsAt
                        && held.getOrDefault(id, 0) > used.getOrDefault(id, 0)) {
                    waits.get(f).poll();
                    use(c);
                }
            }
        }

        void use(Copy c) {
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
                    20 + chance.nextInt(120),
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
                    chance.nextBoolean() ? 0 : chance.nextInt(300),
                    () -> {
                        int n = held.getOrDefault(id, 0) - used.getOrDefault(id, 0);
                        Copy c = copies.get(id);
                        boolean starting = now < c.startsAt && !waits.get(c.function).isEmpty();
                        if (n > 0 && enrolled && !starting) {
                            back(id, n, Messages.InstanceCondition.HEALTHY);
                        } else if (n > 0) {
                            after(BOOT, () -> idle(id));
                        }
                    });
        }

        void back(String id, int n, Messages.InstanceCondition seen) {
            if (enrolled && n > 0) {
                held.computeIfPresent(id, (k, h) -> h > n ? h - n : null);
                say(
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
            if (enrolled && without != Without.EARLY_BACKS_AND_HOLDS) {
                Messages.SlotHoldings word = new Messages.SlotHoldings(grants, Map.copyOf(held));
                say(() -> differed += allocator.onHoldings(now, name, word) ? 0 : 1);
            }
            after(4 * BEAT, this::holds);
        }
    }

    /** What a history can be played without. */
    enum Without {
        NOTHING,
        EARLY_BACKS,
        EARLY_BACKS_AND_HOLDS
    }

    private final SplittableRandom chance;
    private final Without without;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::serial));
    private long serial;
    private double now;
    private SlotAllocator allocator;
    private Autoscaler autoscaler;
    private long view;
    private final Map<String, Front> fronts = new LinkedHashMap<>();
    private final Map<String, Copy> copies = new LinkedHashMap<>();
    private final Map<String, Copy> byNonce = new HashMap<>();
    private final Map<String, Double> missingSince = new HashMap<>();
    private double unsettledUntil;
    private boolean calm;
    private int served;
    int differed;
    private String wrong;

    /** Null unless traced. */
    private DecisionTrace trace;

    SlotSimulation(long seed, Without without) {
        chance = new SplittableRandom(seed);
        this.without = without;
        for (int i = 0; i < FRONTS; i++) {
            fronts.put("front-" + i, new Front("front-" + i));
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

    private void lead() {
        long of = ++view;
        allocator = new SlotAllocator(BEAT, now, (front, word) -> tell(of, front, word));
        allocator.configure(configuration());
        autoscaler =
                new Autoscaler(
                        allocator,
                        100,
                        LAG,
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
                            f.enrolled = false;
                            f.breaks();
                        });
        after(5 + chance.nextInt(300), () -> list(of));
        look(of);
    }

    private static Configuration configuration() {
        Configuration.Builder c = Configuration.newBuilder();
        for (String f : FUNCTIONS) {
            c.addServices(
                    Service.newBuilder()
                            .setName(f)
                            .setBoot((long) BOOT)
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

    private void tell(long of, String front, Object word) {
        decided(word.getClass().getSimpleName(), front, word);
        Front f = fronts.get(front);
        long link = f.link;
        // In order as well: a constant way there.
        after(
                1,
                () -> {
                    if (of == view && link == f.link && word instanceof Messages.SlotGrant g) {
                        f.grant(g);
                    }
                });
    }

    private void look(long of) {
        if (of == view) {
            allocator.tick(now);
            autoscaler.tick(now);
            after(50, () -> look(of));
        }
    }

    // ---- The platform ----

    private void begin(long of, String function, String host, String nonce, int tries) {
        if (of != view) {
            return;
        }
        boolean refused = chance.nextInt(20) == 0;
        boolean lost = chance.nextInt(10) == 0;
        Copy c = byNonce.get(nonce);
        if (c == null && !refused) {
            c = new Copy("i" + copies.size(), function, host);
            c.startsAt = now + BOOT * (0.7 + 0.6 * chance.nextDouble());
            copies.put(c.id, c);
            byNonce.put(nonce, c);
        }
        String id = c == null ? null : c.id;
        after(
                5 + chance.nextInt(30),
                () -> {
                    if (of != view) {
                        return;
                    }
                    if (lost && tries < 4) {
                        after(50, () -> begin(of, function, host, nonce, tries + 1));
                    } else if (id == null || lost) {
                        autoscaler.startFailed(now, nonce, chance.nextBoolean());
                    } else {
                        autoscaler.started(now, nonce, id, "10.0.0.1:1");
                    }
                });
    }

    private void end(String id) {
        Copy c = copies.get(id);
        wrong(
                c.running > 0 && now < c.endedAt && now > unsettledUntil,
                id + " was stopped under work");
        c.endedAt = Math.min(c.endedAt, now);
    }

    private boolean listed(Copy c) {
        return now > c.startsAt + LAG && now < c.endedAt + LAG;
    }

    private void list(long of) {
        if (of != view) {
            return;
        }
        autoscaler.beginHosts();
        for (String h : List.of("h1", "h2")) {
            long here =
                    copies.values().stream()
                            .filter(c -> c.host.equals(h) && now < c.endedAt)
                            .count();
            autoscaler.addHost(h, "z", 16_384, 16_384 - 128 * here, true);
        }
        autoscaler.endHosts();
        for (Copy c : copies.values()) {
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
            } else if (i != null && now > c.startsAt + LAG) {
                allocator.removeInstance(now, i);
            }
        }
        autoscaler.instancesListed();
        after(400, () -> list(of));
    }

    // ---- Troubles ----

    private void requests() {
        if (!calm) {
            Front f = new ArrayList<>(fronts.values()).get(chance.nextInt(FRONTS));
            f.request(FUNCTIONS.get(Math.min(chance.nextInt(6), 2)));
            after(-Math.log(1 - chance.nextDouble()) * 40, this::requests);
        }
    }

    private void trouble() {
        if (calm) {
            return;
        }
        Front f = new ArrayList<>(fronts.values()).get(chance.nextInt(FRONTS));
        unsettledUntil = now + UNSETTLED;
        switch (chance.nextInt(4)) {
            case 0 -> lead();
            case 1 -> f.breaks();
            case 2 -> f.dies();
            default ->
                    copies.values().stream()
                            .filter(c -> now >= c.startsAt && now < c.endedAt)
                            .findFirst()
                            .ifPresent(c -> c.endedAt = now);
        }
        after(6000 + chance.nextInt(4000), this::trouble);
    }

    /** Plays so long with troubles, then lets all rest, and tells what is wrong, or null. */
    String play(double span) {
        lead();
        fronts.values().forEach(Front::holds);
        after(1000, this::requests);
        after(3000, this::trouble);
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
        long alive = copies.values().stream().filter(c -> now < c.endedAt).count();
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
