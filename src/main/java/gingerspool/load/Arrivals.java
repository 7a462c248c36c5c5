package gingerspool.load;

import gingerspool.wire.SingleThreadEventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Channels of clients whose reads are timed by the thread that does them, beside the loop that
 * their handlers run on: however much stands on the loop, the time of an answer is the one at which
 * it was read from the socket.
 */
final class Arrivals implements Closeable {
    /** Takes the end of a read: bytes, or -1, and when they were read in Unix ms. */
    interface Reader {
        void read(int bytes, double at);
    }

    private final SingleThreadEventLoop loop;
    private final AsynchronousChannelGroup group;

    /** When the operation ended whose handler runs now; NaN once taken. Owned by the loop. */
    private double endedAt = Double.NaN;

    /** Handlers that wait for the loop. */
    private final AtomicInteger waiting = new AtomicInteger();

    Arrivals(SingleThreadEventLoop loop) throws IOException {
        this.loop = loop;
        group = AsynchronousChannelGroup.withThreadPool(new Handlers());
    }

    AsynchronousSocketChannel channel() throws IOException {
        return AsynchronousSocketChannel.open(group);
    }

    /** The end of a read becomes a turn of the loop; a failure counts as -1 bytes. */
    CompletionHandler<Integer, Void> onTurn(Reader then) {
        return new CompletionHandler<>() {
            @Override
            public void completed(Integer bytes, Void none) {
                double at = takeEnd();
                loop.execute(() -> then.read(bytes, at));
            }

            @Override
            public void failed(Throwable why, Void none) {
                double at = takeEnd();
                loop.execute(() -> then.read(-1, at));
            }
        };
    }

    /** A read that ends at once runs its handler inside another one, which has taken its time. */
    private double takeEnd() {
        double at = Double.isNaN(endedAt) ? loop.now() : endedAt;
        endedAt = Double.NaN;
        return at;
    }

    /** How many operations have ended whose handlers wait for the loop; from any thread. */
    int waiting() {
        return waiting.get();
    }

    /** Closes all channels. */
    @Override
    public void close() throws IOException {
        group.shutdownNow();
    }

    /** Takes handlers from the thread of the group, which has just ended their operation. */
    private final class Handlers extends AbstractExecutorService {
        private volatile boolean isShutdown;

        @Override
        public void execute(Runnable handler) {
            double at = loop.now();
            waiting.incrementAndGet();
            loop.submit(
                    () -> {
                        waiting.decrementAndGet();
                        endedAt = at;
                        try {
                            handler.run();
                        } finally {
                            endedAt = Double.NaN;
                        }
                    });
        }

        @Override
        public void shutdown() {
            isShutdown = true;
        }

        @Override
        public List<Runnable> shutdownNow() {
            shutdown();
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return isShutdown;
        }

        @Override
        public boolean isTerminated() {
            return isShutdown;
        }

        @Override
        public boolean awaitTermination(long timeout, TimeUnit unit) {
            return isShutdown;
        }
    }
}
