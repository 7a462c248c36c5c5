package gingerspool.experiment;

import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Has a loop do something while the caller waits for it. */
final class LoopCalls {
    /** What is done on the loop. */
    interface Step {
        void go() throws IOException;
    }

    private LoopCalls() {}

    /** Does this on the loop and waits for it. */
    static void on(SingleThreadEventLoop loop, Step step) throws IOException, InterruptedException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.submit(
                () -> {
                    try {
                        step.go();
                        done.complete(null);
                    } catch (IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            done.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }
}
