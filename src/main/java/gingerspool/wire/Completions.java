package gingerspool.wire;

import java.nio.channels.CompletionHandler;
import java.util.function.IntConsumer;

/** Ends of operations on channels, as turns of the one thread. */
public final class Completions {
    private Completions() {}

    /** The end of a read or write becomes a turn; a failure counts as -1 bytes. */
    public static CompletionHandler<Integer, Void> onTurn(EventLoop loop, IntConsumer then) {
        return new CompletionHandler<>() {
            @Override
            public void completed(Integer bytes, Void none) {
                loop.execute(() -> then.accept(bytes));
            }

            @Override
            public void failed(Throwable why, Void none) {
                loop.execute(() -> then.accept(-1));
            }
        };
    }
}
