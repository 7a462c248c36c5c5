package gingerspool.wire;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * The handle of a timer that may have to wait after it has fired: one that is cancelled before its
 * task runs never runs it.
 *
 * <p>Thread: the event loop.
 */
final class LoopTimer extends CompletableFuture<Void> {
    private Future<?> pending;

    /** What fires it. */
    void firedBy(Future<?> scheduled) {
        pending = scheduled;
    }

    @Override
    public boolean cancel(boolean mayInterrupt) {
        pending.cancel(false);
        return super.cancel(false);
    }
}
