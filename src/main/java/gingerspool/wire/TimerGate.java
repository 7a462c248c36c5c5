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
    private static final int MAX_CONSECUTIVE_HOLDS = 3;

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

    private record HeldTimer(LoopTimer timer, Runnable task) {}

    private final Loop loop;
    private final StallTracker stalls;
    private final ArrayDeque<HeldTimer> heldTimers = new ArrayDeque<>();
    private int consecutiveHolds;

    TimerGate(Loop loop, StallTracker stalls) {
        this.loop = loop;
        this.stalls = stalls;
    }

    /** A timer that was due then fires; its task runs now or after the others that wait. */
    void fired(LoopTimer timer, double due, Runnable task) {
        double wait = holdTime(due);
        if (wait == 0 && heldTimers.isEmpty()) {
            run(timer, task);
            return;
        }
        heldTimers.add(new HeldTimer(timer, task));
        if (heldTimers.size() == 1) {
            releaseAfter(wait);
        }
    }

    private double holdTime(double due) {
        double now = loop.now();
        QuietSpan quiet = now > due + StallTracker.LATE_THRESHOLD_MS ? loop.quietAround(due) : null;
        return stalls.timerFired(due, now, quiet);
    }

    private void releaseAfter(double wait) {
        double due = loop.now() + wait;
        loop.after(wait, () -> release(due));
    }

    /** Unless the process stood still once more. */
    private void release(double due) {
        double wait = holdTime(due);
        if (wait > 0 && ++consecutiveHolds < MAX_CONSECUTIVE_HOLDS) {
            releaseAfter(wait);
            return;
        }
        consecutiveHolds = 0;
        for (HeldTimer next = heldTimers.poll(); next != null; next = heldTimers.poll()) {
            run(next.timer, next.task);
        }
    }

    private void run(LoopTimer timer, Runnable task) {
        if (timer.complete(null)) {
            loop.execute(task);
        }
    }
}
