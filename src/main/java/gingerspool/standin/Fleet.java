package gingerspool.standin;

import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import gingerspool.wire.EventLoop;
import gingerspool.wire.ReceiveTimes;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Discovery and workers of a plan on one loop, and the faults that befall them. Make it, call
 * start() and play() on the loop, flush() before the log is read. All ports are chosen by the
 * system, on the loopback address.
 */
public final class Fleet implements Closeable {
    /** How long after a worker's death the list tells so. */
    private static final double NOTICED = 300;

    private static final double LOOK_EVERY = 20;
    private static final double FLUSH_EVERY = 500;

    private final EventLoop loop;
    private final Plan plan;
    private final ExecutionLog log;
    private final Discovery discovery;
    private final List<Worker> workers = new ArrayList<>();
    private boolean over;

    /** The schedulers' addresses, where call-backs go, are known beforehand. */
    public Fleet(EventLoop loop, Plan plan, List<InetSocketAddress> schedulers, Path record)
            throws IOException {
        this.loop = loop;
        this.plan = plan;
        log = new ExecutionLog(record);
        if (plan.suspendsWorkers()) {
            ReceiveTimes.load();
        }
        discovery = new Discovery(loop, schedulers.size(), log);
        for (int w = 0; w < plan.scenario.fleet.workers; w++) {
            workers.add(new Worker(loop, plan, w, schedulers, log));
        }
    }

    /** Where this scheduler follows the list. */
    public InetSocketAddress discovery(int scheduler) {
        return discovery.address(scheduler);
    }

    /** Starts all workers, warm, and lists them. */
    public void start() throws IOException {
        Scenario.Fleet f = plan.scenario.fleet;
        log.write(
                loop.now(),
                "fleet",
                "rules",
                "-",
                -1,
                String.format(
                        Locale.ROOT,
                        "grace=%.0f deemed=%.0f overload=%.3f window=%.0f cancels=%b copies=%b",
                        f.grace,
                        f.deemedTold,
                        f.overload,
                        f.coldWindow,
                        f.cancels,
                        plan.scenario.schedulers.copies));
        for (Worker w : workers) {
            w.start(true);
            log.write(
                    loop.now(), w.name, "in", "-", -1, "zone=" + w.zone + " cell=" + w.number / 4);
            discovery.set(w, "SERVING");
        }
        discovery.begin();
        flushOn();
    }

    private void flushOn() {
        if (!over) {
            flush();
            loop.schedule(FLUSH_EVERY, this::flushOn);
        }
    }

    /** Brings the log up to date on the disk. */
    public void flush() {
        try {
            log.flush();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    // ---- Faults ----

    /** Plays the faults, of which each is due so long after now. */
    public void play() {
        for (Plan.Blow b : plan.blows) {
            loop.schedule(b.fault().at, () -> begin(b));
        }
    }

    private void note(double at, Plan.Blow b, String what) {
        log.write(at, "fault", what, "-", -1, b.fault().what + " " + Arrays.toString(b.workers()));
    }

    private void begin(Plan.Blow b) {
        Scenario.Fault f = b.fault();
        double at = loop.now();
        note(at, b, "begins");
        switch (f.what) {
            case "discovery-down" -> discovery.down(true);
            case "discovery-slow" -> discovery.slow(f.factor);
            case "discovery-back" -> discovery.goBack();
            case "rolling" -> roll(b, 0);
            default -> {
                for (int w : b.workers()) {
                    befall(at, workers.get(w), f, true);
                }
            }
        }
        loop.schedule(f.length, () -> end(b));
    }

    private void end(Plan.Blow b) {
        Scenario.Fault f = b.fault();
        if (over) {
            return;
        }
        double at = loop.now();
        note(at, b, "ends");
        switch (f.what) {
            case "discovery-down" -> discovery.down(false);
            case "discovery-slow" -> discovery.slow(0);
            case "discovery-back", "rolling" -> {}
            default -> {
                for (int w : b.workers()) {
                    befall(at, workers.get(w), f, false);
                }
            }
        }
    }

    private void befall(double at, Worker w, Scenario.Fault f, boolean on) {
        switch (f.what) {
            case "stall" -> w.befall(at, m -> m.stall(on));
            case "slow" -> w.befall(at, m -> m.slow(on ? Math.max(1e-3, f.factor) : 1));
            case "fail-fast" -> w.failsFast = on ? f.profile == null ? "*" : f.profile : null;
            case "neighbour" -> w.befall(at, m -> m.steal(on ? f.factor : 0));
            case "reports-late" -> w.reportsLate = on ? f.factor : 0;
            case "reports-absurd" -> w.reportsAbsurd = on;
            case "cut" -> w.cut(on);
            case "shrink" ->
                    w.befall(at, m -> m.shrink(on ? w.size() / Math.max(1, f.factor) : w.size()));
            case "call-back-lost" -> w.callBacksLost = on ? Double.isNaN(f.share) ? 1 : f.share : 0;
            case "call-back-repeated" -> w.callBacksRepeated = on ? (int) Math.max(1, f.factor) : 1;
            case "call-back-late" -> w.callBacksLate = on ? f.factor : 0;
            case "reset" -> {
                w.resetAfter = on ? f.bytes : -1;
                w.faultShare = on && !Double.isNaN(f.share) ? f.share : 1;
            }
            case "answer-cut" -> {
                w.cutAfter = on ? f.bytes : -1;
                w.faultShare = on && !Double.isNaN(f.share) ? f.share : 1;
            }
            case "kill" -> {
                if (on) {
                    w.kill();
                    noticed(w);
                } else {
                    again(w);
                }
            }
            case "kill-on-taking" -> {
                w.diesOnTaking = on;
                w.whenDied = () -> noticed(w);
                if (!on && !w.isUp()) {
                    again(w);
                }
            }
            case "drain" -> {
                if (on) {
                    discovery.set(w, "DRAINING");
                    w.drain();
                } else {
                    w.kill();
                    again(w);
                }
            }
            default -> {}
        }
    }

    private void noticed(Worker w) {
        loop.schedule(
                NOTICED,
                () -> {
                    if (!w.isUp() && !over) {
                        discovery.set(w, "DELETED");
                    }
                });
    }

    /** It starts anew, cold, under its name and at its ports. */
    private void again(Worker w) {
        try {
            if (!w.isUp()) {
                w.start(false);
                discovery.set(w, "SERVING");
            }
        } catch (IOException e) {
            // Somebody may just hold its port; it comes up as soon as that is free.
            log.write(loop.now(), w.name, "stays-down", "-", -1, String.valueOf(e.getMessage()));
            loop.schedule(
                    LOOK_EVERY,
                    () -> {
                        if (!over) {
                            again(w);
                        }
                    });
        }
    }

    /** A release: one worker after the other drains, ends and starts anew. */
    private void roll(Plan.Blow b, int i) {
        if (i >= b.workers().length || over) {
            return;
        }
        Worker w = workers.get(b.workers()[i]);
        discovery.set(w, "DRAINING");
        w.drain();
        double by = loop.now() + plan.scenario.longestExpiry();
        whenIdle(
                w,
                by,
                () -> {
                    w.kill();
                    again(w);
                });
        loop.schedule(b.fault().every, () -> roll(b, i + 1));
    }

    private void whenIdle(Worker w, double by, Runnable then) {
        loop.schedule(
                LOOK_EVERY,
                () -> {
                    if (w.isIdle() || loop.now() >= by) {
                        then.run();
                    } else {
                        whenIdle(w, by, then);
                    }
                });
    }

    /** Ends everything; the log is whole after this. */
    @Override
    public void close() throws IOException {
        over = true;
        log.close();
    }
}
