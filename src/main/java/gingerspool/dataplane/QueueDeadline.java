package gingerspool.dataplane;

import java.util.OptionalDouble;

/**
 * Decides whether a request that waits for a slot should be rejected now, so that its client can
 * retry in time or elsewhere. Called by {@link FunctionQueue} in its regular check; has no side
 * effects. Times are in milliseconds.
 */
final class QueueDeadline {
    /** A first attempt may be rejected early within this fraction of its latency target. */
    private static final double EARLY_REJECTION_FRACTION = 0.25;

    /** An early rejection asks for a retry within at most this fraction of the remaining time. */
    private static final double RETRY_FRACTION = 1.0 / 3;

    /**
     * A request waits for a slot no longer than its latency target or this many start-up times,
     * whichever is longer.
     */
    private static final double MAX_WAIT_STARTUP_TIMES = 2;

    private final SlotInventory inventory;
    private final MeanServiceTime serviceTime;

    /** The assumed time until an overdue instance is up. */
    private final double minWait;

    QueueDeadline(SlotInventory inventory, MeanServiceTime serviceTime, double minWait) {
        this.inventory = inventory;
        this.serviceTime = serviceTime;
        this.minWait = minWait;
    }

    /**
     * The Retry-After with which to reject a request, in milliseconds; empty if it should keep
     * waiting.
     */
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

    /** Whether the request would miss its latency target here but may meet it with a retry. */
    private boolean mayRetryInTime(PendingRequest request, double now, double wait) {
        boolean isLate = now + wait + serviceTime.mean() > request.dueAt;
        double target = request.dueAt - request.arrivedAt;
        return isLate
                && request.isFirstAttempt
                && wait <= RETRY_FRACTION * (request.expiry - now)
                && now - request.arrivedAt <= EARLY_REJECTION_FRACTION * target;
    }

    /** The time until the first starting instance is expected to be up; NaN if none is starting. */
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
