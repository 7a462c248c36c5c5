package gingerspool.peers;

import gingerspool.wire.EventLoop;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/** A loop whose time passes only as a test says, in milliseconds. */
public class ModelEventLoop implements EventLoop {
    private record Timer(double at, long serial, Runnable what, CompletableFuture<Void> end)
            implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(serial, other.serial);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private double now = 1_000;
    private long serial;

    @Override
    public void execute(Runnable what) {
        schedule(0, what);
    }

    @Override
    public Future<?> schedule(double span, Runnable what) {
        CompletableFuture<Void> end = new CompletableFuture<>();
        timers.add(new Timer(now + Math.max(0, span), ++serial, what, end));
        return end;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public AsynchronousChannelGroup group() {
        throw new UnsupportedOperationException("no sockets in a model");
    }

    /** Time passes in which the loop runs nothing, as when its thread gets no processor. */
    public void stall(double span) {
        now += span;
    }

    /** Runs what comes due within this span, in the order of its times. */
    public void run(double span) {
        double until = now + span;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer next = timers.poll();
            now = Math.max(now, next.at);
            if (!next.end.isDone()) {
                next.what.run();
            }
        }
        now = until;
    }
}
