package gingerspool.dataplane;

import java.util.OptionalDouble;

/**
 * Whether a request that waits for a slot is better rejected now, so that its client may try again
 * in time or look elsewhere. Decides only; times are milliseconds.
 */
final class QueueDeadline {
    /** A first attempt may be rejected early within this part of its latency target. */
    private static final double EARLY_REJECTION_FRACTION = 0.25;

    /** It is asked to come back within this part of the time that it has left. */
    private static final double RETRY_FRACTION = 1.0 / 3;

    /** With no slot in sight a request waits for so many start times at the most. */
    private static final double MAX_WAIT_STARTUP_TIMES = 2;

    private final SlotInventory inventory;
    private final MeanServiceTime serviceTime;

    /** An instance that is overdue is expected to start after this pause. */
    private final double minWait;

    QueueDeadline(SlotInventory inventory, MeanServiceTime serviceTime, double minWait) {
        this.inventory = inventory;
        this.serviceTime = serviceTime;
        this.minWait = minWait;
    }

    /** The pause that a request is to be rejected with; empty where it is to wait on. */
    OptionalDouble retryAfter(PendingRequest request, double now, double startupTime) {
        if (inventory.holdsSlotsOfStarted()) {
            return OptionalDouble.empty();
        }
        double wait = timeUntilStart(now);
        if (mayRetryInTime(request, now, wait)) {
            return OptionalDouble.of(wait);
        }
        boolean isTooLate = wait + serviceTime.mean() > request.expiry - now;
        double maxWait =
                Math.max(request.dueAt - request.arrivedAt, MAX_WAIT_STARTUP_TIMES * startupTime);
        return isTooLate || now - request.arrivedAt > maxWait
                ? OptionalDouble.of(startupTime)
                : OptionalDouble.empty();
    }

    /** Whether it would be late here, but may be in time if it comes back at once. */
    private boolean mayRetryInTime(PendingRequest request, double now, double wait) {
        boolean isLate = now + wait + serviceTime.mean() > request.dueAt;
        double target = request.dueAt - request.arrivedAt;
        return isLate
                && request.isFirstAttempt
                && wait <= RETRY_FRACTION * (request.expiry - now)
                && now - request.arrivedAt <= EARLY_REJECTION_FRACTION * target;
    }

    /** Until the first of the instances that start has started; NaN where none does. */
    private double timeUntilStart(double now) {
        double wait = Double.NaN;
        for (InstanceSlot slot : inventory.all()) {
            if (!slot.isUp && slot.granted > 0) {
                double untilStart = Math.max(minWait, slot.startsAt - now);
                wait = Double.isNaN(wait) ? untilStart : Math.min(wait, untilStart);
            }
        }
        return wait;
    }
}
