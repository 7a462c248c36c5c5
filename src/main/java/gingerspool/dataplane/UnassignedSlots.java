package gingerspool.dataplane;

import java.util.SplittableRandom;

/**
 * Limits how often one scheduler may use a slot of one function without a grant of a leader. All
 * schedulers together stay within the rejections that the platform allows even if every such use is
 * rejected: each takes a share based on the number of schedulers likely to contend, uses one slot
 * at a time, and backs off exponentially after rejections.
 *
 * <p>Used by {@link FunctionQueue} on the event loop; times are in milliseconds.
 */
final class UnassignedSlots {
    /** The window over which the platform counts rejections. */
    static final double REJECTION_WINDOW_MS = 5000;

    /**
     * If there are no more schedulers than this fraction of the allowed rejections, all may try at
     * once.
     */
    private static final double IMMEDIATE_FRACTION = 0.8;

    /**
     * Otherwise the mean number of rejections to aim for, as a fraction of those allowed. It is
     * well below 1 because times are random and the number of contenders is only an estimate.
     */
    private static final double EXPECTED_REJECTION_FRACTION = 0.25;

    /** Requests are counted with exponential decay over this many rejection windows. */
    private static final double AVERAGING_WINDOWS = 6;

    /** The maximum backoff after rejections, as a multiple of the larger of the two windows. */
    private static final double MAX_BACKOFF = 16;

    private final double allowedRejections;
    private final SplittableRandom random;

    /** The decayed number of requests as of `lastArrivalAt`. */
    private double recentRequests;

    private double lastArrivalAt;

    /** Whether the earliest time for a first use was set since the leader was lost. */
    private boolean isLeaderless;

    private double allowedFrom;

    /** Doubles with each rejection; 1 again once there is a leader. */
    private double backoff = 1;

    UnassignedSlots(double rejectionsAllowed, long seed) {
        allowedRejections = rejectionsAllowed;
        random = new SplittableRandom(seed);
    }

    /** A request for the function has arrived. */
    void onArrival(double now) {
        recentRequests = decayedRequests(now) + 1;
        lastArrivalAt = now;
    }

    private double decayedRequests(double now) {
        return recentRequests
                * Math.exp((lastArrivalAt - now) / (AVERAGING_WINDOWS * REJECTION_WINDOW_MS));
    }

    /** There is a leader: forgets the state of the last time without one. */
    void onLeader() {
        isLeaderless = false;
        backoff = 1;
    }

    /** Whether a slot may be used now, given the total number of schedulers. */
    boolean allows(double now, int schedulers) {
        if (!isLeaderless) {
            isLeaderless = true;
            double window = contentionWindow(now, schedulers);
            // If fewer schedulers are likely to contend than rejections are allowed, none has to
            // wait.
            boolean isImmediate =
                    window <= REJECTION_WINDOW_MS
                            || schedulers <= IMMEDIATE_FRACTION * allowedRejections;
            allowedFrom = isImmediate ? now : now + window * random.nextDouble();
        }
        return now >= allowedFrom;
    }

    /** The use of a slot was rejected, so the function is at capacity. */
    void onRejected(double now, int schedulers) {
        backoff = Math.min(MAX_BACKOFF, 2 * backoff);
        allowedFrom =
                now + backoff * Math.max(REJECTION_WINDOW_MS, contentionWindow(now, schedulers));
    }

    /**
     * The time over which to spread the contenders' attempts, each of which may be rejected once.
     */
    private double contentionWindow(double now, int schedulers) {
        // Assumes that other schedulers have as many requests as this one, except for the current
        // one.
        double contentionProbability =
                Math.min(1, Math.max(0, decayedRequests(now) - 1) / AVERAGING_WINDOWS);
        double contenders = 1 + (schedulers - 1) * contentionProbability;
        return REJECTION_WINDOW_MS
                * contenders
                / Math.max(EXPECTED_REJECTION_FRACTION * allowedRejections, Double.MIN_NORMAL);
    }
}
