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
 * The event loop of a process: one thread on which completion handlers and timers run. It owns the
 * state that its tasks touch; a task submitted on the thread runs after the current one, never
 * inside it.
 *
 * <p>Threads: {@link #submit}, {@link #setLatenessListener} and {@link #now} from any thread;
 * {@link #execute}, {@link #schedule} and {@link #earliestArrival} on the loop's thread only.
 */
public final class SingleThreadEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SingleThreadEventLoop.class);

    private static final double NANOS_PER_MS = 1e6;

    private final ScheduledThreadPoolExecutor executor;
    private final EventExecutor eventExecutor;
    private final AsynchronousChannelGroup group;
    private final StallTracker stallTracker = new StallTracker();
    private final TimerGate timerGate = new TimerGate(new TimerGateLoop(), stallTracker);

    /** Tasks to run after the current one. */
    private final ArrayDeque<Runnable> queuedTasks = new ArrayDeque<>();

    private final double startedAt = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();
    private boolean isRunningTasks;

    /** Null before the first task; replaced by a new thread if an error ended the old one. */
    private volatile Thread loopThread;

    private final LatenessMonitor latenessMonitor =
            new LatenessMonitor(
                    LOG,
                    new LoopUsage(new KernelReadings(), startedAtNanos),
                    startedAtNanos,
                    this::toUnixMs);

    public SingleThreadEventLoop() throws IOException {
        executor = new ScheduledThreadPoolExecutor(1, this::newThread);
        executor.setRemoveOnCancelPolicy(true);
        executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        eventExecutor = new EventExecutor(executor, this::isLoopThread);
        group = AsynchronousChannelGroup.withThreadPool(eventExecutor);
    }

    private boolean isLoopThread(Thread candidate) {
        return candidate == loopThread;
    }

    private Thread newThread(Runnable work) {
        loopThread = new Thread(work, "loop");
        return loopThread;
    }

    @Override
    public void execute(Runnable task) {
        queuedTasks.add(task);
        if (isRunningTasks) {
            return;
        }
        isRunningTasks = true;
        try {
            long began = System.nanoTime();
            for (Runnable next = queuedTasks.poll(); next != null; next = queuedTasks.poll()) {
                run(next);
                eventExecutor.clearCurrentNotice();
                long ended = System.nanoTime();
                latenessMonitor.taskEnded(next, began, ended);
                began = ended;
            }
        } finally {
            isRunningTasks = false;
        }
    }

    /** Runs a task; a failure is logged and does not affect the other tasks. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("loop.task_failed");
        }
    }

    /** Runs a task on the loop. Called from any thread; after stop() the task is dropped. */
    public void submit(Runnable task) {
        executor.execute(() -> execute(task));
    }

    @Override
    public Future<?> schedule(double delay, Runnable task) {
        long delayNanos = (long) (delay * NANOS_PER_MS);
        long dueNanos = System.nanoTime() + delayNanos;
        LoopTimer timer = new LoopTimer();
        timer.setPending(scheduleNanos(delayNanos, () -> fire(timer, dueNanos, task)));
        return timer;
    }

    private Future<?> scheduleNanos(long delayNanos, Runnable task) {
        return executor.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void fire(LoopTimer timer, long dueNanos, Runnable task) {
        latenessMonitor.timerFired(dueNanos, System.nanoTime());
        timerGate.timerFired(timer, toUnixMs(dueNanos), task);
    }

    /** The services that the timer gate needs from this loop. */
    private final class TimerGateLoop implements TimerGate.Loop {
        @Override
        public double now() {
            return SingleThreadEventLoop.this.now();
        }

        @Override
        public QuietSpan quietAround(double time) {
            EventExecutor.QuietNanos quiet =
                    eventExecutor.quietAround(toNanos(time), System.nanoTime());
            return quiet == null
                    ? null
                    : new QuietSpan(toUnixMs(quiet.from()), toUnixMs(quiet.until()));
        }

        @Override
        public void runAfter(double delay, Runnable step) {
            SingleThreadEventLoop.this.scheduleNanos((long) (delay * NANOS_PER_MS), step);
        }

        @Override
        public void execute(Runnable task) {
            SingleThreadEventLoop.this.execute(task);
        }
    }

    /**
     * Called on the loop's thread when the program has started. From here on system readings are
     * taken regularly, so that log lines on lateness cover the late time only. Without this call
     * the readings begin after 10 s, or once a listener is set.
     */
    public void startUpEnded() {
        latenessMonitor.startUpEnded(System.nanoTime());
    }

    /** Notifies a listener of each late span from here on. Called from any thread. */
    public void setLatenessListener(LatenessListener listener) {
        latenessMonitor.setListener(listener);
    }

    /** The largest lateness of a timer since the previous call, in milliseconds. */
    public double takeMaxTimerLatenessMs() {
        return latenessMonitor.takeMaxTimerLatenessMs();
    }

    @Override
    public double now() {
        return toUnixMs(System.nanoTime());
    }

    private long toNanos(double unixMs) {
        return startedAtNanos + (long) ((unixMs - startedAt) * NANOS_PER_MS);
    }

    private double toUnixMs(long nanos) {
        return startedAt + (nanos - startedAtNanos) / NANOS_PER_MS;
    }

    @Override
    public double noticedAt() {
        EventExecutor.Notice notice = eventExecutor.currentNotice();
        return notice == null
                ? Double.NEGATIVE_INFINITY
                : stallTracker.earliestArrival(
                        toUnixMs(notice.noticedAt()), toUnixMs(notice.previousPollAt()));
    }

    @Override
    public double onTimeSince() {
        return stallTracker.onTimeSince();
    }

    /**
     * The earliest time at which something, such as a signal, may have arrived that a dedicated
     * waiting thread noticed at the given time. Called on the loop's thread only.
     */
    public double earliestArrival(double noticedAt) {
        return stallTracker.earliestArrival(noticedAt);
    }

    @Override
    public AsynchronousChannelGroup group() {
        return group;
    }

    /** Stops the thread and closes all channels of the group. */
    public void stop() {
        try {
            group.shutdownNow();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("loop.close_failed");
        }
        executor.shutdownNow();
        latenessMonitor.close();
    }
}
