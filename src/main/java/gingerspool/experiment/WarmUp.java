package gingerspool.experiment;

import gingerspool.scenario.Plan;
import gingerspool.scenario.ScenarioFile;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.CompilationMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A short calm play before the first one of a virtual machine, which is thrown away. The tool loads
 * and compiles its own classes in its first seconds, at the cost of the processors that it shares
 * with the schedulers that it judges; the warm-up has that over before a play begins.
 *
 * <p>Thread: any; blocks while it plays.
 */
final class WarmUp {
    /** That of this virtual machine. */
    static final WarmUp SHARED = new WarmUp();

    /** What the tool does in most plays: load, a fleet, operators' calls. */
    private static final String SCENARIO =
            """
            length = "1500ms"
            drain = "0ms"
            [fleet]
            workers = 2
            [profile.search]
            work = "5ms"
            due = "500ms"
            [profile.stamp]
            effect = "side-effecting"
            work = "5ms"
            due = "500ms"
            [load]
            rate_per_s = 150
            retries = 1
            [[fault]]
            what = "suspend"
            at = "100ms"
            for = "300ms"
            worker = "w1"
            """;

    private static final long SEED = 1;

    /** How often the compilers' time is read, and which part of that is no work, in ms. */
    private static final long LOOK_EVERY = 100;

    private static final long QUIET_BELOW = 10;

    /** Compilers that go on for longer than this are not waited for, in ms. */
    private static final long COMPILES_WITHIN = 5000;

    private final AtomicBoolean isDone = new AtomicBoolean();

    /**
     * Plays it the first time that it is called. One that can't be played is told of, and costs no
     * more than time.
     */
    void once(Run.Side side, Path out, PrintStream to) throws InterruptedException {
        if (!isDone.compareAndSet(false, true)) {
            return;
        }
        try {
            play(side, out.resolve("warm-up"));
        } catch (IOException e) {
            to.println("the warm-up could not be played: " + e.getMessage());
        }
        awaitCompilers();
    }

    private static void play(Run.Side side, Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Path file = Files.writeString(folder.resolve("scenario.toml"), SCENARIO);
        Plan plan = Plan.make(ScenarioFile.read(file).scenario(), SEED, folder);
        new Run(plan, side, folder, new PrintStream(OutputStream.nullOutputStream())).play();
    }

    private static void awaitCompilers() throws InterruptedException {
        CompilationMXBean compilers = ManagementFactory.getCompilationMXBean();
        if (compilers == null || !compilers.isCompilationTimeMonitoringSupported()) {
            return;
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMPILES_WITHIN);
        long before;
        long now = compilers.getTotalCompilationTime();
        do {
            before = now;
            Thread.sleep(LOOK_EVERY);
            now = compilers.getTotalCompilationTime();
        } while (now - before >= QUIET_BELOW && System.nanoTime() < until);
    }
}
