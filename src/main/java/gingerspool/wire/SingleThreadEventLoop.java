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
 * The one thread that completion handlers and timers end on; what they start is done in turns of
 * its own.
 */
public final class SingleThreadEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(SingleThreadEventLoop.class);

    /** A timer that fires later than this, in milliseconds, is told in the log. */
    private static final double TOO_LATE = 50;

    /** At most once in so many nanoseconds. */
    private static final long WARN_EVERY = 1_000_000_000;

    private final ScheduledThreadPoolExecutor thread;
    private final AsynchronousChannelGroup group;
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private final double base = System.currentTimeMillis();
    private final long baseNanos = System.nanoTime();
    private boolean inTurn;
    private long warnedAt = baseNanos - WARN_EVERY;
    private double latest;

    public SingleThreadEventLoop() throws IOException {
        thread = new ScheduledThreadPoolExecutor(1, r -> new Thread(r, "loop"));
        thread.setRemoveOnCancelPolicy(true);
        thread.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
        group = AsynchronousChannelGroup.withThreadPool(thread);
    }

    @Override
    public void turn(Runnable what) {
        turns.add(what);
        if (inTurn) {
            return;
        }
        inTurn = true;
        try {
            for (Runnable next = turns.poll(); next != null; next = turns.poll()) {
                run(next);
            }
        } finally {
            inTurn = false;
        }
    }

    /** Guards the loop: whatever breaks, the other tasks go on. */
    private static void run(Runnable next) {
        try {
            next.run();
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("loop.task_failed");
        }
    }

    /** The same from any thread. */
    public void enter(Runnable what) {
        thread.execute(() -> turn(what));
    }

    @Override
    public Future<?> after(double span, Runnable what) {
        long nanos = (long) (span * 1e6);
        long due = System.nanoTime() + nanos;
        return thread.schedule(
                () -> {
                    double late = (System.nanoTime() - due) / 1e6;
                    latest = Math.max(latest, late);
                    if (late > TOO_LATE && System.nanoTime() - warnedAt > WARN_EVERY) {
                        warnedAt = System.nanoTime();
                        LOG.atWarn().addKeyValue("ms", Math.round(late)).log("loop.timer_late");
                    }
                    turn(what);
                },
                nanos,
                TimeUnit.NANOSECONDS);
    }

    /** The most that a timer was late by since this was last asked. */
    public double latestSince() {
        double worst = latest;
        latest = 0;
        return worst;
    }

    @Override
    public double now() {
        return base + (System.nanoTime() - baseNanos) / 1e6;
    }

    @Override
    public AsynchronousChannelGroup group() {
        return group;
    }

    public void stop() {
        try {
            group.shutdownNow();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("loop.close_failed");
        }
        thread.shutdownNow();
    }
}
