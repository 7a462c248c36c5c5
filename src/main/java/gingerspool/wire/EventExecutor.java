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
    private static final long SAME_LOOK_NANOS = 20_000_000;

    /**
     * An event that the runtime waited for, in System.nanoTime().
     *
     * @param noticedAt when it was noticed
     * @param lookedAt when an earlier look at all sockets noticed others: this one had not come yet
     */
    record Notice(long noticedAt, long lookedAt) {}

    private final ExecutorService loop;
    private final Predicate<Thread> isLoop;
    private volatile Notice latest;

    /** That of the loop's present task; null where its operation was done at once. */
    private Notice present;

    /** Passes events on to this executor, whose one thread the predicate knows. */
    EventExecutor(ExecutorService loop, Predicate<Thread> isLoop) {
        this.loop = loop;
        this.isLoop = isLoop;
        long now = System.nanoTime();
        latest = new Notice(now, now);
    }

    @Override
    public void execute(Runnable event) {
        Notice notice = isLoop.test(Thread.currentThread()) ? null : notice(System.nanoTime());
        loop.execute(() -> run(event, notice));
    }

    private synchronized Notice notice(long at) {
        boolean isLater = at - latest.noticedAt > SAME_LOOK_NANOS;
        latest = new Notice(at, isLater ? latest.noticedAt : latest.lookedAt);
        return latest;
    }

    /** When an event was noticed last; when this was made where none has been; from any thread. */
    long latestNanos() {
        return latest.noticedAt;
    }

    private void run(Runnable event, Notice notice) {
        present = notice;
        try {
            event.run();
        } finally {
            present = null;
        }
    }

    /** Of the event that the loop's present task tells of; null where nobody waited for it. */
    Notice present() {
        return present;
    }

    /** The present task no longer tells of an event. */
    void eventHandled() {
        present = null;
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
