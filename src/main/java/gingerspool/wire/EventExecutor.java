package gingerspool.wire;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The executor of a channel group: passes completion handlers on to the loop's thread and records
 * when each was submitted. That is when the runtime's poller thread, which waits for the sockets,
 * noticed the event; the loop may handle it much later.
 *
 * <p>Threads: any, except {@link #currentNotice} and {@link #clearCurrentNotice}, which only the
 * loop's thread calls.
 */
final class EventExecutor extends AbstractExecutorService {
    /** Events noticed further apart than this come from different polls of the sockets. */
    private static final long SAME_POLL_NANOS = 20_000_000;

    /**
     * When an event that the runtime waited for was noticed, in System.nanoTime().
     *
     * @param noticedAt when the event was noticed
     * @param previousPollAt when an earlier poll of all sockets noticed other events: this event
     *     had not arrived by then
     */
    record Notice(long noticedAt, long previousPollAt) {}

    /** A period between two events, in System.nanoTime(). */
    record QuietNanos(long from, long until) {}

    /**
     * Shorter periods without an event are not kept: they are needed only for timers that are late,
     * and a timer is late by at least this.
     */
    private static final long MIN_QUIET_NANOS = (long) (StallTracker.LATE_THRESHOLD_MS * 1e6);

    private static final int MAX_QUIET_SPANS = 16;

    private final ExecutorService loop;
    private final Predicate<Thread> isLoopThread;

    private Notice latestNotice;

    /** When the poll began that may have noticed the latest event. */
    private long pollStartedAt;

    /** The last long periods without an event, a ring that overwrites the oldest. */
    private final QuietNanos[] quietSpans = new QuietNanos[MAX_QUIET_SPANS];

    private int nextQuietIndex;

    /** The notice of the loop's current task; null if it does not handle a noticed event. */
    private Notice currentNotice;

    /**
     * Creates an executor that passes handlers on to a loop.
     *
     * @param loop runs the handlers on its one thread
     * @param isLoopThread whether a thread is that one
     */
    EventExecutor(ExecutorService loop, Predicate<Thread> isLoopThread) {
        this(loop, isLoopThread, System.nanoTime());
    }

    /** The same with an explicit start time on the clock of System.nanoTime(), for tests. */
    EventExecutor(ExecutorService loop, Predicate<Thread> isLoopThread, long now) {
        this.loop = loop;
        this.isLoopThread = isLoopThread;
        latestNotice = new Notice(now, now);
        pollStartedAt = now;
    }

    @Override
    public void execute(Runnable event) {
        if (isLoopThread.test(Thread.currentThread())) {
            // The operation completed immediately, inside the call that started it.
            event.run();
        } else {
            Notice notice = recordEvent(System.nanoTime());
            loop.execute(() -> run(event, notice));
        }
    }

    /** Records that an event was noticed at this time. */
    synchronized Notice recordEvent(long at) {
        long previous = latestNotice.noticedAt;
        long previousPollAt = latestNotice.previousPollAt;
        if (at - previous > SAME_POLL_NANOS) {
            previousPollAt = previous;
            pollStartedAt = at;
        } else if (at - pollStartedAt > SAME_POLL_NANOS) {
            previousPollAt = pollStartedAt;
            pollStartedAt = at;
        }
        if (at - previous > MIN_QUIET_NANOS) {
            quietSpans[nextQuietIndex] = new QuietNanos(previous, at);
            nextQuietIndex = (nextQuietIndex + 1) % MAX_QUIET_SPANS;
        }
        latestNotice = new Notice(at, previousPollAt);
        return latestNotice;
    }

    /**
     * The long period without an event that contains this time, in System.nanoTime(); it ends now
     * if no event has come since. Null if there is none. Called from any thread.
     */
    synchronized QuietNanos quietAround(long time, long now) {
        if (time - latestNotice.noticedAt >= 0) {
            return now - latestNotice.noticedAt > MIN_QUIET_NANOS
                    ? new QuietNanos(latestNotice.noticedAt, now)
                    : null;
        }
        for (QuietNanos quiet : quietSpans) {
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

    /** The notice of the event that the current task handles; null if it handles none. */
    Notice currentNotice() {
        return currentNotice;
    }

    /** Called after the task that handled the event: the next tasks do not belong to it. */
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
