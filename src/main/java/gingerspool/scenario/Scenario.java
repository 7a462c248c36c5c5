package gingerspool.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What an experiment plays: a fleet, schedulers, load and faults. Spans are milliseconds, rates a
 * second.
 */
public final class Scenario {
    /** How requests come in over time. */
    public enum Arrivals {
        POISSON,
        BURSTS,
        RAMP,
        TRACE
    }

    /** What the machines of the fleet are like. */
    public static final class Fleet {
        public int workers;
        public List<String> zones;
        public int slots;
        public double cores;
        public double memory;
        public int queue;
        public String order;
        public double speed;

        /** Standard deviation of the logarithm of the workers' speeds. */
        public double speedSpread;

        public double coldFrom;
        public double warmWithin;

        /** How much work, in full windows, a cold worker bears, and how long a window is. */
        public double overload;

        public double coldWindow;

        /**
         * Connections that a worker holds, what a new one's first request waits, and when idle ones
         * are closed.
         */
        public int connections;

        public double handshake;
        public double idleClose;

        /** none, probe or answers. */
        public String reports;

        public double reportAge;
        public double reportNoise;
        public boolean tellsStart;
        public boolean cancels;

        /** Share of tasks that fail by themselves. */
        public double fails;

        /**
         * How long after a change of the list its grace ends for sends to a draining or gone
         * worker.
         */
        public double grace;

        /** When a change counts as told whether or not it was. */
        public double deemedTold;
    }

    /** The schedulers under test. */
    public static final class Schedulers {
        public int count;
        public int descriptors;
        public int assignments;
        public boolean copies;

        /** An operator's file that each is started with, relative to the scenario, or null. */
        public String file;

        public List<String> zones;
        public double advice;

        /**
         * The core that the first one is bound to, and each further one to the next; -1: none is.
         */
        public int pinFrom;
    }

    /** One sort of request. */
    public static final class Kind {
        public String name;
        public String effect;
        public double due;
        public double expiry;
        public double window;
        public String scope;
        public double utility;
        public double tardyUtility;
        public double share;

        /**
         * Mean work on a standard core, and the spread of its logarithm; a heavy tail is Pareto's
         * of this index.
         */
        public double work;

        public double spread;
        public double tail;
        public int width;
        public double memory;

        /** Spread of the logarithm of the hint over the work; negative: no hints. */
        public double hintSpread;

        public int priority;
    }

    /** One who asks. */
    public record Tenant(String name, double share, double ratePerS) {}

    /** How clients come and behave. */
    public static final class Load {
        public double rate;
        public Arrivals arrivals;
        public double burstEvery;
        public double burstLength;
        public double burstFactor;
        public double rampTo;
        public String trace;
        public int connections;
        public int retries;
        public double retryPause;
        public boolean honoursAdvice;
        public boolean marksRetries;

        /**
         * The share of requests that go on a connection to a scheduler that leaves or is drained,
         * while one is open: its clients go on using what they have.
         */
        public double keepsOn;

        /** Share of clients that go away before their answer. */
        public double leaves;

        public double slowHeads;
        public double halfRequests;
        public double floods;
        public double nonsense;
    }

    /** Something that goes wrong, from `at` for `length`. */
    public static final class Fault {
        public String what;
        public double at;
        public double length;

        /** Who: by number, share, zone or name; else all. */
        public int workers = -1;

        public double share = Double.NaN;
        public String zone;
        public String worker;
        public String profile;
        public double factor;
        public int scheduler;
        public double every;
        public int bytes;

        /** Which process of a scheduler: serving, newest or before (the one that serves). */
        public String process;
    }

    public String name;
    public long seed;
    public double length;
    public double drain;
    public Fleet fleet = new Fleet();
    public Schedulers schedulers = new Schedulers();
    public final Map<String, Kind> kinds = new LinkedHashMap<>();
    public final List<Tenant> tenants = new ArrayList<>();
    public Load load = new Load();
    public final List<Fault> faults = new ArrayList<>();

    /** Whether operators call the schedulers: then each has an address for them. */
    public boolean hasOperators() {
        return faults.stream()
                .anyMatch(
                        f ->
                                List.of(
                                                "scheduler-replaced",
                                                "heir-killed",
                                                "scheduler-drained",
                                                "suspend")
                                        .contains(f.what));
    }

    /** Whether processes of schedulers are paused. */
    public boolean pausesSchedulers() {
        return faults.stream().anyMatch(f -> f.what.equals("scheduler-paused"));
    }

    /** The longest expiry of any kind, in milliseconds. */
    public double longestExpiry() {
        return kinds.values().stream().mapToDouble(k -> k.expiry).max().orElse(0);
    }
}
