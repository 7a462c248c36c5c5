package gingerspool.wire;

import java.util.ArrayDeque;

/**
 * Holds back the loop's fired timers after a stall of the whole process, in their order, until the
 * events that arrived during the stall have been handled.
 *
 * <p>Thread: the event loop. Times are in milliseconds on its clock.
 */
final class TimerGate {
    /**
     * Timers are held for at most this many stalls in a row, so that a process that is always late
     * still runs them.
     */
    private static final int MAX_CONSECUTIVE_HOLDS = 3;

    /** The services that the gate needs from the loop. */
    interface Loop {
        double now();

        /**
         * The period without an event, longer than {@link StallTracker#LATE_THRESHOLD_MS}, that
         * contains this time; null if there is none.
         */
        QuietSpan quietAround(double time);

        /** Runs a step after a delay, without passing the gate. */
        void runAfter(double delay, Runnable step);

        /** Runs a task after the current one. */
        void execute(Runnable task);
    }

    private record HeldTimer(LoopTimer timer, Runnable task) {}

    private final Loop loop;
    private final StallTracker stallTracker;
    private final ArrayDeque<HeldTimer> heldTimers = new ArrayDeque<>();
    private int consecutiveHolds;

    TimerGate(Loop loop, StallTracker stallTracker) {
        this.loop = loop;
        this.stallTracker = stallTracker;
    }

    /** Called when a timer fires; runs its task now, or later if timers are held back. */
    void timerFired(LoopTimer timer, double due, Runnable task) {
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
        return stallTracker.timerFired(due, now, quiet);
    }

    private void releaseAfter(double wait) {
        double due = loop.now() + wait;
        loop.runAfter(wait, () -> release(due));
    }

    /** Runs the held timers, unless the process has stalled again. */
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
