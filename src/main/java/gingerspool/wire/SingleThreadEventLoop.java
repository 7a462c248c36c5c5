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

/**
 * The event loop of a process: one thread on which completion handlers and timers end. It owns
 * whatever state its tasks touch; a task that is handed over on the thread runs after the one going
 * on, never inside it.
 */
public final class SingleThreadEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SingleThreadEventLoop.class);

    private static final double NANOS_PER_MS = 1e6;

    private final ScheduledThreadPoolExecutor thread;
    private final AsynchronousChannelGroup group;

    /** Tasks that wait for the one going on. */
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

    private final double startedAt = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();
    private boolean isRunning;

    private final LatenessMonitor lateness =
            new LatenessMonitor(
                    LOG,
                    new LoopUse(new KernelReadings(), startedAtNanos),
                    startedAtNanos,
                    this::unixMs);

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
            long began = System.nanoTime();
            for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
                run(next);
                long ended = System.nanoTime();
                lateness.taskEnded(next, began, ended);
                began = ended;
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
                    lateness.timerFired(dueNanos, System.nanoTime());
                    execute(task);
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }

    /**
     * The program has started: lines on lateness tell of the late time alone from here on, which
     * takes some readings of the system. Without this call they begin after 10 s, or with a
     * listener. Only on the loop.
     */
    public void startUpEnded() {
        lateness.startUpEnded(System.nanoTime());
    }

    /** Tells a listener of each late span from here on; from any thread. */
    public void setLatenessListener(LatenessListener listener) {
        lateness.setListener(listener);
    }

    /** The most that a timer was late by, in milliseconds, since this was last called. */
    public double takeLatestTimerMs() {
        return lateness.takeLatestTimerMs();
    }

    @Override
    public double now() {
        return unixMs(System.nanoTime());
    }

    private double unixMs(long nanos) {
        return startedAt + (nanos - startedAtNanos) / NANOS_PER_MS;
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
        lateness.close();
    }
}
