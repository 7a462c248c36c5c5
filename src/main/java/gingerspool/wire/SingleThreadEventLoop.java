package gingerspool.wire;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The event loop of a process: one thread on which completion handlers and timers end. It owns
 * whatever state its tasks touch; a task that is handed over on the thread runs after the one going
 * on, never inside it.
 */
public final class SingleThreadEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SingleThreadEventLoop.class);

    /** A timer that fires later than this is logged. */
    private static final double LATE_TIMER_MS = 50;

    /** Late timers are logged once in this time at the most. */
    private static final long WARNING_INTERVAL_NANOS = 1_000_000_000;

    private static final double NANOS_PER_MS = 1e6;

    private final ScheduledThreadPoolExecutor thread;
    private final AsynchronousChannelGroup group;

    /** Tasks that wait for the one going on. */
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

    private final double startedAt = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();
    private boolean isRunning;
    private long warnedAtNanos = startedAtNanos - WARNING_INTERVAL_NANOS;
    private double latestTimerMs;

    /** Set before the first task that may be late, from any thread. */
    private volatile LatenessListener listener = span -> {};

    /** What the thread had run and waited by the last late timer, or by its start. */
    private ProcessorUse usedBefore = new ProcessorUse(0, 0);

    private long usedBeforeAtNanos = startedAtNanos;

    public SingleThreadEventLoop() throws IOException {
        thread = new ScheduledThreadPoolExecutor(1, r -> new Thread(r, "loop"));
        thread.setRemoveOnCancelPolicy(true);
        thread.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        group = AsynchronousChannelGroup.withThreadPool(thread);
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (isRunning) {
            return;
        }
        isRunning = true;
        try {
            for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
                run(next);
            }
        } finally {
            isRunning = false;
        }
    }

    /** Guards the loop: whatever breaks, the other tasks go on. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("loop.task_failed");
        }
    }

    /** Runs a task on the loop; from any thread. After stop() it is dropped. */
    public void submit(Runnable task) {
        thread.execute(() -> execute(task));
    }

    @Override
    public Future<?> schedule(double delay, Runnable task) {
        long delayNanos = (long) (delay * NANOS_PER_MS);
        long dueNanos = System.nanoTime() + delayNanos;
        return thread.schedule(
                () -> {
                    noteLateness((System.nanoTime() - dueNanos) / NANOS_PER_MS);
                    execute(task);
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    private void noteLateness(double lateMs) {
        latestTimerMs = Math.max(latestTimerMs, lateMs);
        if (lateMs > LATE_TIMER_MS && System.nanoTime() - warnedAtNanos > WARNING_INTERVAL_NANOS) {
            warnedAtNanos = System.nanoTime();
            LoggingEventBuilder line = LOG.atWarn().addKeyValue("ms", Math.round(lateMs));
            addProcessorUse(line);
            line.log("loop.timer_late");
        }
    }

    /** Tells a loop that works for too long from one that gets no processor. */
    private void addProcessorUse(LoggingEventBuilder line) {
        ProcessorUse used = ProcessorUse.ofThisThread().orElse(null);
        if (used == null) {
            return;
        }
        ProcessorUse meanwhile = used.since(usedBefore);
        line.addKeyValue(
                        "within_ms", Math.round((warnedAtNanos - usedBeforeAtNanos) / NANOS_PER_MS))
                .addKeyValue("ran_ms", Math.round(meanwhile.ranMs()))
                .addKeyValue("waited_ms", Math.round(meanwhile.waitedMs()));
        usedBefore = used;
        usedBeforeAtNanos = warnedAtNanos;
    }

    /** Tells a listener of each late span from here on; from any thread. */
    public void setLatenessListener(LatenessListener listener) {
        this.listener = listener;
    }

    /** The most that a timer was late by, in milliseconds, since this was last called. */
    public double takeLatestTimerMs() {
        double latest = latestTimerMs;
        latestTimerMs = 0;
        return latest;
    }

    @Override
    public double now() {
        return startedAt + (System.nanoTime() - startedAtNanos) / NANOS_PER_MS;
    }

    @Override
    public AsynchronousChannelGroup group() {
        return group;
    }

    /** Ends the thread and closes all channels of the group. */
    public void stop() {
        try {
            group.shutdownNow();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("loop.close_failed");
        }
        thread.shutdownNow();
    }
}
