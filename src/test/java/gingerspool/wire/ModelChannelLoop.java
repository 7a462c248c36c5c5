package gingerspool.wire;

import gingerspool.peers.ModelEventLoop;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * A loop for modelled channels, in whose order ends of operations and timers run as on the real
 * one: each in a turn of its own, in the order in which they came due.
 */
public final class ModelChannelLoop extends ModelEventLoop {
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private boolean isRunning;
    private double noticedAt = Double.NEGATIVE_INFINITY;

    /** The last listening socket. */
    public ModelServerChannel listening;

    /** The connections that the process opened itself; each comes up. */
    public final List<ModelSocketChannel> opened = new ArrayList<>();

    /** The runtime has ended an operation: its handler runs as soon as the thread is free. */
    void complete(Runnable handler) {
        // Done at once where a task of the loop's own begins the operation.
        double at = isRunning ? Double.NEGATIVE_INFINITY : now();
        super.schedule(
                0,
                () -> {
                    noticedAt = at;
                    handler.run();
                    noticedAt = Double.NEGATIVE_INFINITY;
                });
    }

    @Override
    public double noticedAt() {
        return noticedAt;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (isRunning) {
            return;
        }
        isRunning = true;
        for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
            next.run();
        }
        isRunning = false;
    }

    @Override
    public Future<?> schedule(double span, Runnable task) {
        return super.schedule(span, () -> execute(task));
    }

    @Override
    public AsynchronousSocketChannel channel() {
        ModelSocketChannel channel = new ModelSocketChannel(this, null);
        opened.add(channel);
        return channel;
    }

    @Override
    public AsynchronousServerSocketChannel serverChannel() {
        listening = new ModelServerChannel(this);
        return listening;
    }
}
