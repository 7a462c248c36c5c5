package gingerspool.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * One worker's machine, modelled without any I/O: slots, cores, memory, an order of waiting jobs,
 * speed, warming up, and what befalls it. Call advance(now) before any other call at that time, and
 * again at next(); what happens is told to the Ear in order. Running jobs share the cores evenly
 * (processor sharing) once there are more slots busy than cores; a job's work is given, in
 * milliseconds on a standard core.
 */
final class Machine {
    enum Order {
        FIRST_COME,
        BACKFILL,
        PRIORITY
    }

    /**
     * What it is like. Speed is in standard cores; coldFrom is the share of it at a start,
     * warmWithin ms long.
     */
    record Spec(
            int slots,
            double cores,
            double memory,
            int queueMost,
            Order order,
            double speed,
            double coldFrom,
            double warmWithin) {}

    /** Who hears what becomes of jobs. */
    interface Ear {
        void started(Job job, double at);

        void ended(Job job, double at);

        void handedBack(Job job, double at);
    }

    /** While it warms its speed changes in so many steps. */
    private static final int WARM_STEPS = 64;

    private final Spec spec;
    private final Ear ear;
    private final List<Job> running = new ArrayList<>();
    private final List<Job> waiting = new ArrayList<>();
    private double now;
    private double startedAt;
    private double stolen;
    private double slow = 1;
    private boolean stalled;
    private boolean draining;

    /** Widths of what runs, and memory held. */
    private int busy;

    private double held;
    private double workDone;
    private double capacity;

    Machine(Spec spec, double startedAt, Ear ear) {
        this.spec = spec;
        this.startedAt = startedAt;
        this.ear = ear;
        now = startedAt;
        capacity = spec.slots;
    }

    // ---- Time ----

    /** Speed of each running job, in standard cores. */
    private double rate() {
        if (stalled || running.isEmpty()) {
            return 0;
        }
        double cores = Math.max(0, spec.cores - stolen);
        return spec.speed * warmth() / slow * Math.min(1, cores / busy);
    }

    /** The share of its speed that it has, in steps, so that a rate holds until next(). */
    private double warmth() {
        double age = now - startedAt;
        if (age >= spec.warmWithin || spec.warmWithin <= 0) {
            return 1;
        }
        double step = Math.floor(Math.max(0, age) / spec.warmWithin * WARM_STEPS) / WARM_STEPS;
        return spec.coldFrom + (1 - spec.coldFrom) * step;
    }

    /**
     * When something happens by itself next: a job ends or the speed changes; infinite where
     * nothing does.
     */
    double next() {
        double rate = rate();
        if (rate <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double least = Double.POSITIVE_INFINITY;
        for (Job j : running) {
            least = Math.min(least, j.left);
        }
        double end = now + Math.max(0, least) / rate;
        double age = now - startedAt;
        if (age < spec.warmWithin) {
            double step = spec.warmWithin / WARM_STEPS;
            end = Math.min(end, startedAt + step * (Math.floor(age / step + 1e-9) + 1));
        }
        return end;
    }

    /** Lets time pass; what ends on the way is told at its time. */
    void advance(double to) {
        for (double at = next(); at <= to; at = next()) {
            pass(at);
            end();
            start();
        }
        pass(to);
    }

    private void pass(double to) {
        double done = rate() * Math.max(0, to - now);
        for (Job j : running) {
            j.left -= done;
        }
        workDone += done * running.size();
        now = Math.max(now, to);
    }

    private void end() {
        // Guards against waiting for less than the clock can tell: at Unix times its grain is a
        // quarter of a microsecond.
        double grain = Math.max(1e-6, 4 * Math.ulp(now) * rate());
        int i = 0;
        while (i < running.size()) {
            Job j = running.get(i);
            if (j.left <= grain) {
                running.remove(i);
                free(j);
                ear.ended(j, now);
            } else {
                i++;
            }
        }
    }

    private void free(Job j) {
        busy -= j.width;
        held -= j.memory;
    }

    // ---- Jobs ----

    /** Takes a job, unless it drains, is full or can never run this one. */
    boolean offer(Job j) {
        if (draining
                || j.width > spec.slots
                || j.memory > spec.memory
                || waiting.size() >= spec.queueMost && !fits(j)) {
            return false;
        }
        waiting.add(j);
        start();
        return true;
    }

    private boolean fits(Job j) {
        return busy + j.width <= capacity && held + j.memory <= spec.memory;
    }

    /** Starts what may start, in the machine's order. */
    private void start() {
        for (Job j = nextToStart(); j != null && !stalled; j = nextToStart()) {
            waiting.remove(j);
            j.startedAt = now;
            busy += j.width;
            held += j.memory;
            running.add(j);
            ear.started(j, now);
        }
    }

    private Job nextToStart() {
        if (waiting.isEmpty()) {
            return null;
        }
        Job head = waiting.get(0);
        if (spec.order == Order.PRIORITY) {
            for (Job j : waiting) {
                head = j.priority > head.priority ? j : head;
            }
        }
        if (fits(head)) {
            return head;
        }
        return spec.order == Order.BACKFILL ? backfill(head) : null;
    }

    /**
     * A later job that fits and, by what was told, ends before the first one could start (EASY).
     */
    private Job backfill(Job head) {
        double rate = rate();
        List<Job> byEnd = new ArrayList<>(running);
        byEnd.sort((a, b) -> Double.compare(rest(a), rest(b)));
        int free = (int) capacity - busy;
        double memory = spec.memory - held;
        double start = 0;
        for (Job j : byEnd) {
            if (free >= head.width && memory >= head.memory) {
                break;
            }
            free += j.width;
            memory += j.memory;
            start = rest(j);
        }
        for (Job j : waiting) {
            if (j != head && fits(j) && j.told > 0 && rate > 0 && j.told <= start) {
                return j;
            }
        }
        return null;
    }

    /** What is expected to be left of a running job, by what was told of it. */
    private double rest(Job j) {
        return Math.max(0, (j.told > 0 ? j.told : j.work) - (j.work - j.left));
    }

    /** Lets a job go, waiting or running; tells whether it was here, and whether it had started. */
    Boolean drop(String id) {
        for (Job j : waiting) {
            if (j.id.equals(id)) {
                waiting.remove(j);
                start();
                return Boolean.FALSE;
            }
        }
        for (Job j : running) {
            if (j.id.equals(id)) {
                running.remove(j);
                free(j);
                start();
                return Boolean.TRUE;
            }
        }
        return null;
    }

    boolean has(String id) {
        return waiting.stream().anyMatch(j -> j.id.equals(id))
                || running.stream().anyMatch(j -> j.id.equals(id));
    }

    // ---- What befalls it ----

    void stall(boolean is) {
        stalled = is;
        start();
    }

    /** Everything takes so many times as long. */
    void slow(double factor) {
        slow = factor;
    }

    /** Another program takes so many cores. */
    void steal(double cores) {
        stolen = cores;
    }

    /** Only so many slots from now on; what runs goes on. */
    void shrink(double slots) {
        capacity = Math.max(0, Math.min(spec.slots, slots));
        start();
    }

    /** Nothing new is taken; what waits is handed back. */
    void drain() {
        draining = true;
        for (Job j : new ArrayList<>(waiting)) {
            waiting.remove(j);
            ear.handedBack(j, now);
        }
    }

    boolean isDraining() {
        return draining;
    }

    // ---- Reports ----

    int runs() {
        return running.size();
    }

    int waits() {
        return waiting.size();
    }

    double freeSlots() {
        return Math.max(0, capacity - busy);
    }

    double freeMemory() {
        return spec.memory - held;
    }

    double utilisation() {
        return spec.slots == 0 ? 1 : Math.min(1, busy / (double) spec.slots);
    }

    /** Work done since the start, in standard core milliseconds. */
    double workDone() {
        return workDone;
    }

    List<Job> jobs() {
        List<Job> all = new ArrayList<>(running);
        all.addAll(waiting);
        return all;
    }
}
