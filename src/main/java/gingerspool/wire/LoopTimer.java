package gingerspool.wire;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * The handle of a timer whose task may be held back after the timer has fired. If it is cancelled
 * before its task runs, the task never runs.
 *
 * <p>Thread: the event loop.
 */
final class LoopTimer extends CompletableFuture<Void> {
    private Future<?> pending;

    /** Sets the scheduled future that fires this timer; it is cancelled with the timer. */
    void setPending(Future<?> scheduled) {
        pending = scheduled;
    }

    @Override
    public boolean cancel(boolean mayInterrupt) {
        pending.cancel(false);
        return super.cancel(false);
    }
}
