package gingerspool.dataplane;

import java.util.OptionalDouble;

/**
 * Whether a request that waits for a slot is better rejected now, so that its client may try again
 * in time or look elsewhere. Decides only; times are milliseconds.
 */
final class QueueDeadline {
    /** A first attempt may be rejected early within this part of its latency target. */
    private static final double EARLY_PART = 0.25;

    /** It is asked to come back within this part of the time that it has left. */
    private static final double RETURN_PART = 1.0 / 3;

    /** With no slot in sight a request waits for so many start times at the most. */
    private static final double WAIT_START_TIMES = 2;

    private final SlotInventory inventory;
    private final MeanServiceTime serviceTime;

    /** An instance that is overdue is expected to start after this pause. */
    private final double shortestWait;

    QueueDeadline(SlotInventory inventory, MeanServiceTime serviceTime, double shortestWait) {
        this.inventory = inventory;
        this.serviceTime = serviceTime;
        this.shortestWait = shortestWait;
    }

    /** The pause that a request is to be rejected with; empty where it is to wait on. */
    OptionalDouble rejection(PendingRequest request, double now, double startTime) {
        if (inventory.holdsSlotsOfStarted()) {
            return OptionalDouble.empty();
        }
        double wait = waitForStart(now);
        if (mayComeBack(request, now, wait)) {
            return OptionalDouble.of(wait);
        }
        boolean isHopeless = wait + serviceTime.mean() > request.expiry - now;
        double longestWait =
                Math.max(request.dueAt - request.arrivedAt, WAIT_START_TIMES * startTime);
        return isHopeless || now - request.arrivedAt > longestWait
                ? OptionalDouble.of(startTime)
                : OptionalDouble.empty();
    }

    /** Whether it would be late here, but may be in time if it comes back at once. */
    private boolean mayComeBack(PendingRequest request, double now, double wait) {
        boolean isLate = now + wait + serviceTime.mean() > request.dueAt;
        double target = request.dueAt - request.arrivedAt;
        return isLate
                && request.isFirstAttempt
                && wait <= RETURN_PART * (request.expiry - now)
                && now - request.arrivedAt <= EARLY_PART * target;
    }

    /** Until the first of the instances that start has started; NaN where none does. */
    private double waitForStart(double now) {
        double wait = Double.NaN;
        for (InstanceSlot slot : inventory.all()) {
            if (!slot.isUp && slot.granted > 0) {
                double start = Math.max(shortestWait, slot.startsAt - now);
                wait = Double.isNaN(wait) ? start : Math.min(wait, start);
            }
        }
        return wait;
    }
}
