package gingerspool.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Injects faults into the processes of {@link PlatformSoakTest}, drawn from a seed: series of
 * SIGTERM, SIGKILL, SIGSTOP and SIGHUP, each on a thread of its own so that the series overlap.
 * Processes that have ended are started again. In about half of the runs one control node loses its
 * disk.
 */
final class PlatformFaults {
    private static final int MIN_SERIES = 3;
    private static final int SERIES_RANGE = 3;
    private static final int MAX_SERIES_LENGTH = 4;
    private static final int MAX_PAUSE_IN_SERIES_MS = 800;

    /** For so many processes the usual number of series is drawn; for more, as many more. */
    private static final int PROCESSES_PER_DRAW = 5;

    private static final long FAULT_PERIOD_MS = 10_000;
    private static final long EXIT_TIMEOUT_MS = 7000;
    private static final long START_TIMEOUT_MS = 30_000;

    /** The kinds of faults. */
    private enum Kind {
        TERMINATED,
        KILLED,
        STOPPED,
        RELOADED,
        /** The process is killed and restarted without its data directory. */
        DISK_LOST
    }

    /** Faults that may be injected into any process, and repeatedly. */
    private static final List<Kind> REPEATABLE_KINDS =
            List.of(Kind.TERMINATED, Kind.KILLED, Kind.STOPPED, Kind.RELOADED);

    /** One fault to inject after a delay, in milliseconds after the one before it. */
    private record Step(PlatformProcesses.Node node, Kind kind, long delayMs, long durationMs) {}

    /** A fault that was injected or ended at this System.nanoTime(). */
    private record Injected(PlatformProcesses.Node node, Kind kind, long atNanos) {}

    private final PlatformProcesses platform;
    private final SplittableRandom random;
    private final List<String> violations;
    private final List<Injected> injected = new CopyOnWriteArrayList<>();

    /** Violations that are found while faults are injected are added to the list. */
    PlatformFaults(PlatformProcesses platform, long seed, List<String> violations) {
        this.platform = platform;
        this.violations = violations;
        random = new SplittableRandom(seed);
    }

    /** Injects all faults; returns when the last one has ended and all processes run again. */
    void run() throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (List<Step> series : drawAll()) {
            threads.add(new Thread(() -> inject(series), "faults"));
        }
        threads.forEach(Thread::start);
        Thread.sleep(FAULT_PERIOD_MS);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private List<List<Step>> drawAll() {
        List<List<Step>> all = new ArrayList<>();
        int draws = platform.allNodes().size() / PROCESSES_PER_DRAW;
        int seriesCount = Math.max(1, draws) * (MIN_SERIES + random.nextInt(SERIES_RANGE));
        for (int i = 0; i < seriesCount; i++) {
            all.add(drawSeries());
        }
        // ToleratedLosses allows the permanent loss of one control machine.
        if (random.nextBoolean()) {
            PlatformProcesses.Node node = drawOf(platform.controlNodes);
            all.add(
                    List.of(
                            new Step(
                                    node,
                                    Kind.DISK_LOST,
                                    random.nextLong(FAULT_PERIOD_MS),
                                    drawDuration())));
        }
        return all;
    }

    /** Faults with short pauses, half of them of the same process as the one before. */
    private List<Step> drawSeries() {
        List<Step> series = new ArrayList<>();
        PlatformProcesses.Node node = drawOf(platform.allNodes());
        long delayMs = random.nextLong(FAULT_PERIOD_MS);
        int length = 1 + random.nextInt(MAX_SERIES_LENGTH);
        for (int i = 0; i < length; i++) {
            Kind kind = drawOf(REPEATABLE_KINDS);
            series.add(new Step(node, kind, delayMs, drawDuration()));
            delayMs = random.nextLong(MAX_PAUSE_IN_SERIES_MS);
            node = random.nextBoolean() ? node : drawOf(platform.allNodes());
        }
        return series;
    }

    private long drawDuration() {
        return 200 + random.nextLong(1300);
    }

    private <T> T drawOf(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }

    private void inject(List<Step> series) {
        for (Step step : series) {
            try {
                Thread.sleep(step.delayMs);
                // Faults of the same process are serialized; those of different processes overlap.
                synchronized (step.node) {
                    record(step);
                    apply(step);
                }
            } catch (IOException | InterruptedException e) {
                violations.add(
                        step.kind + " of " + step.node.name() + " could not be injected: " + e);
            }
        }
    }

    private void record(Step step) {
        injected.add(new Injected(step.node, step.kind, System.nanoTime()));
    }

    private void apply(Step step) throws IOException, InterruptedException {
        PlatformProcesses.Node node = step.node;
        switch (step.kind) {
            case RELOADED -> {
                // SIGHUP would end a JVM that has just started and has no handler for it yet.
                node.awaitListening(START_TIMEOUT_MS);
                node.signal("HUP");
            }
            case STOPPED -> {
                node.signal("STOP");
                Thread.sleep(step.durationMs);
                node.signal("CONT");
                record(step);
            }
            case KILLED, DISK_LOST -> {
                node.signal("KILL");
                node.awaitExit(EXIT_TIMEOUT_MS);
                if (step.kind == Kind.DISK_LOST) {
                    node.deleteDisk();
                }
                Thread.sleep(step.durationMs);
                node.start();
                record(step);
            }
            default -> {
                node.terminate();
                if (!node.awaitExit(EXIT_TIMEOUT_MS)) {
                    violations.add(node.name() + " did not exit within 7 s after SIGTERM");
                    node.signal("KILL");
                    node.awaitExit(EXIT_TIMEOUT_MS);
                }
                node.start();
            }
        }
    }

    /** Whether the process was killed or suspended, or was so until, in this span. */
    boolean isUnplannedTrouble(PlatformProcesses.Node node, long fromNanos, long toNanos) {
        return injected.stream()
                .filter(fault -> fault.node == node)
                .filter(fault -> fault.kind == Kind.KILLED || fault.kind == Kind.STOPPED)
                .anyMatch(fault -> fault.atNanos >= fromNanos && fault.atNanos <= toNanos);
    }

    /** Checks that no process has ended by itself. */
    void checkAllAlive() {
        for (PlatformProcesses.Node node : platform.allNodes()) {
            if (!node.isAlive()) {
                violations.add(node.name() + " has ended by itself, code " + node.exitCode());
            }
        }
    }

    /** Terminates all processes at once, control nodes included. */
    void terminateAll() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EXIT_TIMEOUT_MS);
        for (PlatformProcesses.Node node : platform.allNodes()) {
            node.terminate();
        }
        for (PlatformProcesses.Node node : platform.allNodes()) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (!node.awaitExit(Math.max(1, remainingMs))) {
                violations.add(node.name() + " is still running 7 s after SIGTERM");
            }
        }
        if (!platform.livePids().isEmpty()) {
            violations.add("processes are still running: " + platform.livePids());
        }
    }

    /** The faults in the order of their times, in seconds since the first. */
    @Override
    public String toString() {
        long startNanos = injected.isEmpty() ? 0 : injected.get(0).atNanos;
        return injected.stream()
                .map(
                        fault ->
                                "%.3f %s %s"
                                        .formatted(
                                                (fault.atNanos - startNanos) / 1e9,
                                                fault.kind,
                                                fault.node.name()))
                .collect(Collectors.joining(", "));
    }
}
