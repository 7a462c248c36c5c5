package gingerspool.wire;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * What a channel group hands the ends of operations to: passes them on to the loop's thread, and
 * notes when each was handed over. That is when the runtime's own thread, which waits for the
 * sockets, noticed the event; the loop may come to it much later.
 *
 * <p>Thread: any; {@link #present} belongs to the loop's thread.
 */
final class EventExecutor extends AbstractExecutorService {
    /**
     * Events noticed with more than this between them were not noticed by one look at the sockets.
     */
    private static final long SAME_POLL_NANOS = 20_000_000;

    /**
     * An event that the runtime waited for, in System.nanoTime().
     *
     * @param noticedAt when it was noticed
     * @param lookedAt when an earlier look at all sockets noticed others: this one had not come yet
     */
    record Notice(long noticedAt, long lookedAt) {}

    /** Between two events, in System.nanoTime(). */
    record Quiet(long from, long until) {}

    /** A span without an event is long where a timer that fires so late is late. */
    private static final long MIN_QUIET_NANOS = (long) (StallTracker.LATE_THRESHOLD_MS * 1e6);

    private static final int MAX_QUIET_SPANS = 16;

    private final ExecutorService loop;
    private final Predicate<Thread> isLoopThread;

    private Notice latestNotice;

    /** When the look began that the latest event may belong to. */
    private long pollStartedAt;

    /** The last long spans without an event, the oldest overwritten first. */
    private final Quiet[] quietSpans = new Quiet[MAX_QUIET_SPANS];

    private int nextQuietIndex;

    /** That of the loop's present task; null where nobody waited for its event. */
    private Notice currentNotice;

    /** Passes events on to this executor, whose one thread the predicate knows. */
    EventExecutor(ExecutorService loop, Predicate<Thread> isLoopThread) {
        this(loop, isLoopThread, System.nanoTime());
    }

    /** The same, begun at this instant of a clock that a test keeps. */
    EventExecutor(ExecutorService loop, Predicate<Thread> isLoopThread, long now) {
        this.loop = loop;
        this.isLoopThread = isLoopThread;
        latestNotice = new Notice(now, now);
        pollStartedAt = now;
    }

    @Override
    public void execute(Runnable event) {
        if (isLoopThread.test(Thread.currentThread())) {
            // Done at once: its end comes in the call that began it.
            event.run();
        } else {
            Notice notice = notice(System.nanoTime());
            loop.execute(() -> run(event, notice));
        }
    }

    /** An event is noticed. */
    synchronized Notice notice(long at) {
        long previous = latestNotice.noticedAt;
        long lookedAt = latestNotice.lookedAt;
        if (at - previous > SAME_POLL_NANOS) {
            lookedAt = previous;
            pollStartedAt = at;
        } else if (at - pollStartedAt > SAME_POLL_NANOS) {
            lookedAt = pollStartedAt;
            pollStartedAt = at;
        }
        if (at - previous > MIN_QUIET_NANOS) {
            quietSpans[nextQuietIndex] = new Quiet(previous, at);
            nextQuietIndex = (nextQuietIndex + 1) % MAX_QUIET_SPANS;
        }
        latestNotice = new Notice(at, lookedAt);
        return latestNotice;
    }

    /**
     * The long span without an event that this time lies in, by System.nanoTime(), up to now where
     * it lasts; null where there is none. From any thread.
     */
    synchronized Quiet quietAround(long time, long now) {
        if (time - latestNotice.noticedAt >= 0) {
            return now - latestNotice.noticedAt > MIN_QUIET_NANOS
                    ? new Quiet(latestNotice.noticedAt, now)
                    : null;
        }
        for (Quiet quiet : quietSpans) {
            if (quiet != null && time - quiet.from >= 0 && quiet.until - time >= 0) {
                return quiet;
            }
        }
        return null;
    }

    private void run(Runnable event, Notice notice) {
        currentNotice = notice;
        try {
            event.run();
        } finally {
            currentNotice = null;
        }
    }

    /** Of the event that the loop's present task tells of; null where nobody waited for it. */
    Notice currentNotice() {
        return currentNotice;
    }

    /** The present task no longer tells of an event. */
    void clearCurrentNotice() {
        currentNotice = null;
    }

    @Override
    public void shutdown() {
        loop.shutdown();
    }

    @Override
    public List<Runnable> shutdownNow() {
        return loop.shutdownNow();
    }

    @Override
    public boolean isShutdown() {
        return loop.isShutdown();
    }

    @Override
    public boolean isTerminated() {
        return loop.isTerminated();
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) throws InterruptedException {
        return loop.awaitTermination(timeout, unit);
    }
}
