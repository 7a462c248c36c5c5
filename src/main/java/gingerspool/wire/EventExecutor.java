package gingerspool.wire;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * What a channel group hands the ends of operations to: passes them on to the loop's thread, and
 * notes when each was handed over. That is when the runtime's own thread, which waits for the
 * sockets, noticed the event; the loop may come to it much later.
 *
 * <p>Thread: any; {@link #noticedAtNanos} belongs to the loop's thread.
 */
final class EventExecutor extends AbstractExecutorService {
    /** The operation was done at once, so nobody had to wait for the event. */
    static final long DONE_AT_ONCE = Long.MIN_VALUE;

    private final ExecutorService loop;
    private long noticedAtNanos = DONE_AT_ONCE;

    EventExecutor(ExecutorService loop) {
        this.loop = loop;
    }

    @Override
    public void execute(Runnable event) {
        long at = System.nanoTime();
        Thread from = Thread.currentThread();
        loop.execute(() -> run(event, from, at));
    }

    private void run(Runnable event, Thread from, long at) {
        noticedAtNanos = from == Thread.currentThread() ? DONE_AT_ONCE : at;
        try {
            event.run();
        } finally {
            noticedAtNanos = DONE_AT_ONCE;
        }
    }

    /**
     * When the event that the loop's present task tells of was noticed, by System.nanoTime(), or
     * DONE_AT_ONCE.
     */
    long noticedAtNanos() {
        return noticedAtNanos;
    }

    /** The present task no longer tells of an event. */
    void eventHandled() {
        noticedAtNanos = DONE_AT_ONCE;
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
