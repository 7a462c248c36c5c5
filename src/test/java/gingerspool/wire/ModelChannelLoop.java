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

    /** As EventExecutor has it: events so close to each other may be of one look. */
    private static final double SAME_LOOK = 20;

    private final StallTracker stalls = new StallTracker();

    /** Of the event that the present task tells of, and of the last one of all. */
    private double noticedAt = Double.NEGATIVE_INFINITY;

    private double lastNoticedAt = Double.NEGATIVE_INFINITY;
    private double lookedAt = Double.NEGATIVE_INFINITY;

    /** The last listening socket. */
    public ModelServerChannel listening;

    /** The connections that the process opened itself; each comes up. */
    public final List<ModelSocketChannel> opened = new ArrayList<>();

    /** The runtime has ended an operation: its handler runs as soon as the thread is free. */
    void complete(Runnable handler) {
        // Done at once where a task of the loop's own begins the operation.
        double at = isRunning ? Double.NEGATIVE_INFINITY : now();
        double lookedBefore = lastNoticedAt;
        lastNoticedAt = Math.max(lastNoticedAt, at);
        super.schedule(
                0,
                () -> {
                    noticedAt = at;
                    lookedAt = at > lookedBefore + SAME_LOOK ? lookedBefore : lookedAt;
                    handler.run();
                    noticedAt = Double.NEGATIVE_INFINITY;
                });
    }

    @Override
    public double noticedAt() {
        return stalls.earliest(noticedAt, lookedAt);
    }

    @Override
    public double onTimeSince() {
        return stalls.stalledUntil();
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
        double due = now() + span;
        LoopTimer timer = new LoopTimer();
        timer.waitsFor(super.schedule(span, () -> fire(timer, due, task)));
        return timer;
    }

    /** As the real loop does: after a stall what came meanwhile goes first. */
    private void fire(LoopTimer timer, double due, Runnable task) {
        double wait = stalls.fired(due, now(), lastNoticedAt);
        if (wait > 0) {
            timer.waitsFor(super.schedule(wait, () -> execute(task)));
        } else {
            execute(task);
        }
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
