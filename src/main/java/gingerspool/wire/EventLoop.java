package gingerspool.wire;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.concurrent.Future;

/**
 * The one thread that owns a process's state, as connections and timers see it. Times are
 * milliseconds.
 */
public interface EventLoop {
    /**
     * Runs a task after the one going on, never inside it; only for callers on the loop's thread.
     */
    void execute(Runnable task);

    /** Runs a task after a delay, unless cancelled; only for callers on the loop's thread. */
    Future<?> schedule(double delay, Runnable task);

    /** Milliseconds of Unix time, never running backwards. */
    double now();

    /**
     * The earliest time at which the event that the present task tells of may have come: when the
     * runtime noticed it, or since when the process had stood still by then. Negative infinity
     * where the operation was done at once, so that the event may have come at any time before.
     */
    default double noticedAt() {
        return now();
    }

    /** Since when the loop has been on time; what came before may not have been looked at. */
    default double onTimeSince() {
        return Double.NEGATIVE_INFINITY;
    }

    /** The group whose completion handlers run on the loop's thread. */
    AsynchronousChannelGroup group();

    /** A channel that is not connected yet. A test may hand out modelled ones. */
    default AsynchronousSocketChannel channel() throws IOException {
        return AsynchronousSocketChannel.open(group());
    }

    /** A channel that does not listen yet. A test may hand out modelled ones. */
    default AsynchronousServerSocketChannel serverChannel() throws IOException {
        return AsynchronousServerSocketChannel.open(group());
    }

    /**
     * Whether a safeguard is in place. No class of src/main overrides this (see ArchitectureTest):
     * only a test's loop takes one out, to show what it is for.
     */
    default boolean has(RequestSafeguard safeguard) {
        return true;
    }
}
