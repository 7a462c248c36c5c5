package gingerspool.wire;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.concurrent.Future;

/** The one thread on which everything happens, as connections see it. */
public interface EventLoop {
    /**
     * Runs this on the thread's next turn, never inside the one going on; only for callers on the
     * thread.
     */
    void turn(Runnable what);

    /** Runs this after so many milliseconds, unless cancelled. */
    Future<?> after(double span, Runnable what);

    /** Milliseconds of Unix time, never running backwards. */
    double now();

    AsynchronousChannelGroup group();

    /** A channel that is not connected yet. A test may hand out modelled ones. */
    default AsynchronousSocketChannel channel() throws IOException {
        return AsynchronousSocketChannel.open(group());
    }

    /** Whether this guard is in its place; only a test that shows what it is for takes one out. */
    default boolean has(RequestSafeguard guard) {
        return true;
    }
}
