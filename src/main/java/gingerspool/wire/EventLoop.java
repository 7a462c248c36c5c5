package gingerspool.wire;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.concurrent.Future;

/**
 * The single thread that owns a process's state, as seen by connections and timers. Times are in
 * milliseconds.
 */
public interface EventLoop {
    /** Runs a task after the current one, never inside it. Called on the loop's thread only. */
    void execute(Runnable task);

    /** Runs a task after a delay, unless cancelled. Called on the loop's thread only. */
    Future<?> schedule(double delay, Runnable task);

    /** Unix time in milliseconds; never runs backwards. */
    double now();

    /**
     * The earliest time at which the event that the current task handles may have arrived: when the
     * runtime noticed it, or the start of the process stall that preceded that. Negative infinity
     * if the operation completed immediately, since the event may then have arrived at any earlier
     * time.
     */
    default double noticedAt() {
        return now();
    }

    /** Since when the loop has been on time; events from before may not have been handled yet. */
    default double onTimeSince() {
        return Double.NEGATIVE_INFINITY;
    }

    /** The group whose completion handlers run on the loop's thread. */
    AsynchronousChannelGroup group();

    /** Opens a channel that is not connected yet. A test may return a simulated one. */
    default AsynchronousSocketChannel channel() throws IOException {
        return AsynchronousSocketChannel.open(group());
    }

    /** Opens a channel that does not listen yet. A test may return a simulated one. */
    default AsynchronousServerSocketChannel serverChannel() throws IOException {
        return AsynchronousServerSocketChannel.open(group());
    }

    /**
     * Whether a safeguard is enabled. No class of src/main overrides this (see ArchitectureTest):
     * only the loop of a test disables one, to show which failure it prevents.
     */
    default boolean isEnabled(RequestSafeguard safeguard) {
        return true;
    }
}
