package gingerspool.autoscaler;

import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The wanted instances of each function, and the difference to what is: starts what is missing and
 * stops what has stood idle. Starts come first where most is lacked; all within the platform's
 * rate. Times are milliseconds of a steady clock.
 */
public final class Autoscaler {
    /** This share of tasks may wait for a slot for longer than their aim allows. */
    private static final double LATE = 0.02;

    /** An instance more than wanted is stopped after so many starts' time. */
    private static final double IDLE = 2;

    /**
     * A start is worth so many starts' time of standing idle: the start's own, what the platform
     * charges for it, and what waiting for it takes from the task. The last instance is kept where
     * the next task is awaited within that; else it goes once unused, or after a start's time where
     * the rate isn't known yet.
     */
    private static final double START_WORTH = 3;

    /**
     * Whoever holds a slot of an instance on its way out has so many starts' time to give it back.
     */
    private static final double RETIRES = 20;

    /** Few starts take longer than so many times their mean. */
    private static final double SURE = 1.4;

    /** Running time where none was seen of any such function, in parts of the aim. */
    private static final double RUN = 0.2;

    /** The part of the platform's rate that is used. */
    private static final double RATE = 0.8;

    /** A start that has not shown for so many starts' time is given up. */
    private static final double START_MOST = 8;

    /**
     * What an autoscaler calls to act; each call's end comes back as started(), startFailed() or
     * stopped().
     */
    public interface Actions {
        void start(Function function, String host, String nonce);

        void stop(String instance);

        /** Nothing new may go to this instance. */
        void leaves(Instance instance);
    }

    private final SlotAllocator keeper;
    private final double rate;
    private final double lag;
    private final String prefix;
    private final Actions actions;
    private final Map<String, WorkerHost> hosts = new LinkedHashMap<>();

    /** Starts that were asked for and not answered, by nonce. */
    private final Map<String, Asked> asked = new LinkedHashMap<>();

    private final Map<Function, Double> surplusSince = new HashMap<>();

    /** Instances on their way out, and since when. */
    private final Map<Instance, Double> retiring = new LinkedHashMap<>();

    /** Mean running time by size of function. */
    private final Map<String, Double> kinds = new HashMap<>();

    private long nonces;
    private double tokens;
    private double tokensAt;
    private double now;
    private boolean hostsKnown;
    private boolean listKnown;

    private record Asked(Function function, WorkerHost host) {}

    /** The prefix makes this scaler's nonces its own. */
    public Autoscaler(
            SlotAllocator keeper,
            double rate,
            double lag,
            String prefix,
            double now,
            Actions actions) {
        this.keeper = keeper;
        this.rate = RATE * rate / 1000;
        this.lag = lag;
        this.prefix = prefix;
        this.actions = actions;
        tokensAt = now;
        tokens = 1;
    }

    // ---- What the platform says ----

    public void hostsBegin() {
        hosts.values().forEach(h -> h.ready = false);
    }

    public void host(String name, String zone, double memory, double free, boolean ready) {
        WorkerHost h = hosts.computeIfAbsent(name, k -> new WorkerHost(name, zone));
        h.memory = memory;
        h.free = free;
        h.ready = ready;
    }

    public void hostsEnd() {
        hostsKnown = true;
        // The list is late: what was begun since is not in it yet.
        for (Instance i : keeper.instances()) {
            if (i.state == Instance.State.STARTING && now < i.begunAt + lag) {
                hostOf(i.host).free -= i.function.memory;
            }
        }
        asked.values().forEach(a -> a.host.free -= a.function.memory);
    }

    private WorkerHost hostOf(String name) {
        return hosts.computeIfAbsent(name, k -> new WorkerHost(name, ""));
    }

    /** The whole list of instances was read once. */
    public void listed() {
        listKnown = true;
    }

    public void started(double at, String nonce, String id, String address) {
        now = at;
        Asked a = asked.remove(nonce);
        if (a != null && keeper.instance(id) == null) {
            keeper.add(
                    now,
                    id,
                    a.function,
                    address,
                    a.host.zone,
                    a.host.name,
                    a.function.concurrency,
                    Instance.State.STARTING);
        }
    }

    /** The start was turned away: there was no room, or the host is going. */
    public void startFailed(double at, String nonce, boolean noRoom) {
        now = at;
        Asked a = asked.remove(nonce);
        if (a != null && noRoom) {
            a.host.free = 0;
        } else if (a != null) {
            a.host.free += a.function.memory;
        }
    }

    // ---- The difference ----

    /** Starts and stops what is due. */
    public void tick(double at) {
        now = at;
        tokens = Math.min(rate * 1000, tokens + (now - tokensAt) * rate);
        tokensAt = now;
        if (!hostsKnown || !listKnown) {
            return;
        }
        findKinds();
        List<Function> order = new ArrayList<>(keeper.functions());
        order.sort((a, b) -> Integer.compare(b.lacks(), a.lacks()));
        for (Function f : order) {
            int wanted = wanted(f);
            int have = have(f);
            while (have < wanted && tokens >= 1 && start(f)) {
                have++;
            }
        }
        for (Function f : order) {
            dropSurplus(f);
        }
        stopRetired();
    }

    /**
     * Guards first tasks of rare functions: until one has run, others of its size tell how long it
     * takes.
     */
    private void findKinds() {
        Map<String, Integer> seen = new HashMap<>();
        kinds.clear();
        for (Function f : keeper.functions()) {
            if (f.run > 0) {
                int n = seen.merge(kind(f), 1, Integer::sum);
                kinds.merge(kind(f), f.run, (mean, run) -> mean + (run - mean) / n);
            }
        }
    }

    private static String kind(Function f) {
        return f.memory + " " + f.concurrency + " " + f.aim;
    }

    private int have(Function f) {
        int n = 0;
        for (Instance i : f.instances.values()) {
            boolean lost =
                    i.state == Instance.State.STARTING
                            && now > i.begunAt + START_MOST * f.boot + lag;
            n += i.state == Instance.State.LEAVING || lost || i.isSuspect(now) ? 0 : 1;
        }
        for (Asked a : asked.values()) {
            n += a.function == f ? 1 : 0;
        }
        return n;
    }

    /** How many instances the load asks for, now. */
    int wanted(Function f) {
        if (!f.routed) {
            return 0;
        }
        double run = f.run > 0 ? f.run : kinds.getOrDefault(kind(f), RUN * Math.min(f.aim, 1000));
        double load = f.arrivals.wanted() * run;
        double span = Math.max(0, f.aim / 2 - run);
        // What waits already is to be worked off within the same span.
        double backlog = load + f.lacks() * run / Math.max(run, span);
        boolean mustStand = f.aim < SURE * f.boot + run;
        int n = mustStand || f.inHand() > 0 ? 1 : 0;
        while (n > 0
                && (n * f.concurrency < backlog
                        || ErlangDelay.longer(n * f.concurrency, load, span / run) > LATE)) {
            n++;
        }
        return n;
    }

    private boolean start(Function f) {
        WorkerHost host = place(f);
        if (host == null) {
            return false;
        }
        tokens--;
        host.free -= f.memory;
        String nonce = prefix + ++nonces;
        asked.put(nonce, new Asked(f, host));
        actions.start(f, host.name, nonce);
        return true;
    }

    /**
     * Where most of its tasks lack an instance; there the host with the fewest of it, then the
     * emptiest.
     */
    private WorkerHost place(Function f) {
        Map<String, Integer> demand = keeper.demandByZone(f);
        Map<String, Integer> inZone = new HashMap<>();
        Map<String, Integer> onHost = new HashMap<>();
        f.instances
                .values()
                .forEach(
                        i -> {
                            inZone.merge(i.zone, 1, Integer::sum);
                            onHost.merge(i.host, 1, Integer::sum);
                        });
        asked.values()
                .forEach(
                        a -> {
                            if (a.function == f) {
                                inZone.merge(a.host.zone, 1, Integer::sum);
                                onHost.merge(a.host.name, 1, Integer::sum);
                            }
                        });
        WorkerHost best = null;
        double bestValue = 0;
        for (WorkerHost h : hosts.values()) {
            if (!h.ready || h.free < f.memory) {
                continue;
            }
            double value =
                    (1.0 + demand.getOrDefault(h.zone, 0)) / (1 + inZone.getOrDefault(h.zone, 0))
                            - 0.1 * onHost.getOrDefault(h.name, 0)
                            + 0.05 * h.free / Math.max(1, h.memory);
            if (best == null || value > bestValue) {
                best = h;
                bestValue = value;
            }
        }
        return best;
    }

    /** How long the last instance of a function stays unused. */
    private static double unusedLast(Function f) {
        return f.arrivals.usual() * START_WORTH * f.boot > 1
                ? Double.POSITIVE_INFINITY
                : f.arrivals.known() ? 0 : f.boot;
    }

    /**
     * Retires one instance that has been more than wanted for a while: the one with the least work,
     * as load is spread over all and none might ever be idle. It gets nothing new, and ends once
     * nobody holds a slot.
     */
    private void dropSurplus(Function f) {
        int have = have(f);
        if (have <= wanted(f)) {
            surplusSince.remove(f);
            return;
        }
        double since = surplusSince.computeIfAbsent(f, k -> now);
        double span = have == 1 ? 0 : IDLE * f.boot;
        if (now < since + span) {
            return;
        }
        Instance least = null;
        for (Instance i : f.instances.values()) {
            boolean idles = i.inHands() == 0 && now > i.usedAt + unusedLast(f);
            boolean may = i.state == Instance.State.READY && (have > 1 || idles);
            least = may && (least == null || i.inHands() < least.inHands()) ? i : least;
        }
        if (least != null) {
            actions.leaves(least);
            retiring.put(least, now);
            surplusSince.put(f, now - span + f.boot / 2);
        }
    }

    private void stopRetired() {
        for (Map.Entry<Instance, Double> e : List.copyOf(retiring.entrySet())) {
            Instance i = e.getKey();
            boolean free = i.inHands() == 0 || now > e.getValue() + RETIRES * i.function.boot;
            if (free && tokens >= 1) {
                tokens--;
                retiring.remove(i);
                actions.stop(i.id);
            }
        }
    }
}
