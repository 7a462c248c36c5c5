package gingerspool.wire;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * The handle of a timer that may be put off once: cancelling takes back whatever it waits for.
 *
 * <p>Thread: the event loop.
 */
final class LoopTimer extends CompletableFuture<Void> {
    private Future<?> pending;

    /** What it waits for from now on. */
    void waitsFor(Future<?> next) {
        pending = next;
    }

    @Override
    public boolean cancel(boolean mayInterrupt) {
        pending.cancel(false);
        return super.cancel(false);
    }
}
