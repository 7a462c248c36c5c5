package gingerspool.wire;

import java.util.ArrayDeque;

/**
 * Through which the loop's timers go as they fire: after a stall of the whole process they wait, in
 * their order, until what came meanwhile has been looked at.
 *
 * <p>Thread: the event loop. Times are milliseconds on its clock.
 */
final class TimerGate {
    /** Timers wait for so many stalls in a row; a process that is always late still runs them. */
    private static final int MOST_WAITS = 3;

    /** The loop behind it. */
    interface Loop {
        double now();

        /** The span of over {@link StallTracker#LATE} without an event that this time lies in. */
        QuietSpan quietAround(double time);

        /** Runs this after so long. */
        void after(double delay, Runnable step);

        /** Runs a task as a turn of its own. */
        void execute(Runnable task);
    }

    private record Held(LoopTimer timer, Runnable task) {}

    private final Loop loop;
    private final StallTracker stalls;
    private final ArrayDeque<Held> held = new ArrayDeque<>();
    private int waits;

    TimerGate(Loop loop, StallTracker stalls) {
        this.loop = loop;
        this.stalls = stalls;
    }

    /** A timer that was due then fires; its task runs now or after the others that wait. */
    void fired(LoopTimer timer, double due, Runnable task) {
        double wait = waitFor(due);
        if (wait == 0 && held.isEmpty()) {
            run(timer, task);
            return;
        }
        held.add(new Held(timer, task));
        if (held.size() == 1) {
            releaseAfter(wait);
        }
    }

    private double waitFor(double due) {
        double now = loop.now();
        QuietSpan quiet = now > due + StallTracker.LATE ? loop.quietAround(due) : null;
        return stalls.fired(due, now, quiet);
    }

    private void releaseAfter(double wait) {
        double due = loop.now() + wait;
        loop.after(wait, () -> release(due));
    }

    /** Unless the process stood still once more. */
    private void release(double due) {
        double wait = waitFor(due);
        if (wait > 0 && ++waits < MOST_WAITS) {
            releaseAfter(wait);
            return;
        }
        waits = 0;
        for (Held next = held.poll(); next != null; next = held.poll()) {
            run(next.timer, next.task);
        }
    }

    private void run(LoopTimer timer, Runnable task) {
        if (timer.complete(null)) {
            loop.execute(task);
        }
    }
}
