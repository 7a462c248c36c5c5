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
    private static final double NANOS_PER_MS = 1e6;

    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private boolean isRunning;

    /** Notes events as the real loop does, in the model's time. */
    private final EventExecutor events = new EventExecutor(null, thread -> false, 0);

    private final StallTracker stalls = new StallTracker();
    private final TimerGate timers = new TimerGate(new GateLoop(), stalls);

    /** Of the event that the present task tells of; null where it was done at once. */
    private EventExecutor.Notice present;

    private boolean isBeginning;

    /** The last listening socket. */
    public ModelServerChannel listening;

    /** The connections that the process opened itself; each comes up. */
    public final List<ModelSocketChannel> opened = new ArrayList<>();

    /** An operation begins: where it is done at once, its end comes in this call. */
    void begin(Runnable operation) {
        boolean was = isBeginning;
        isBeginning = true;
        operation.run();
        isBeginning = was;
    }

    /** The runtime has ended an operation: its handler runs as soon as the thread is free. */
    void complete(Runnable handler) {
        if (isBeginning) {
            handler.run();
            return;
        }
        EventExecutor.Notice notice = events.recordEvent(nanos(now()));
        super.schedule(
                0,
                () -> {
                    present = notice;
                    handler.run();
                    present = null;
                });
    }

    private static long nanos(double ms) {
        return Math.round(ms * NANOS_PER_MS);
    }

    private static double ms(long nanos) {
        return nanos / NANOS_PER_MS;
    }

    @Override
    public double noticedAt() {
        return present == null
                ? Double.NEGATIVE_INFINITY
                : stalls.earliestArrival(ms(present.noticedAt()), ms(present.previousPollAt()));
    }

    @Override
    public double onTimeSince() {
        return stalls.onTimeSince();
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
            present = null;
        }
        isRunning = false;
    }

    @Override
    public Future<?> schedule(double span, Runnable task) {
        double due = now() + span;
        LoopTimer timer = new LoopTimer();
        timer.setPending(super.schedule(span, () -> timers.timerFired(timer, due, task)));
        return timer;
    }

    /** What the gate of the timers needs: the real one, in the model's time. */
    private final class GateLoop implements TimerGate.Loop {
        @Override
        public double now() {
            return ModelChannelLoop.this.now();
        }

        @Override
        public QuietSpan quietAround(double time) {
            EventExecutor.QuietNanos quiet = events.quietAround(nanos(time), nanos(now()));
            return quiet == null ? null : new QuietSpan(ms(quiet.from()), ms(quiet.until()));
        }

        @Override
        public void runAfter(double delay, Runnable step) {
            ModelChannelLoop.super.schedule(delay, step);
        }

        @Override
        public void execute(Runnable task) {
            ModelChannelLoop.this.execute(task);
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
