package gingerspool.dataplane;

import java.util.SplittableRandom;

/**
 * How often one scheduler may use a slot that no leader gave it, of one function. All schedulers
 * together stay within the refusals that the platform allows even where every such use is refused:
 * each has a share by the number of schedulers that are likely to want the same, uses one slot at a
 * time, and waits longer after each refusal. Times are milliseconds.
 */
final class UnassignedSlots {
    /** The platform counts refusals over this span. */
    static final double REJECTION_WINDOW_MS = 5000;

    /** With no more schedulers than this part of the refusals, each may be refused at once. */
    private static final double IMMEDIATE_FRACTION = 0.8;

    /**
     * The mean number of refusals aimed at otherwise, in parts of those allowed: times are drawn,
     * and contenders are only estimated.
     */
    private static final double EXPECTED_REJECTION_FRACTION = 0.25;

    /** Requests are counted over so many windows. */
    private static final double AVERAGING_WINDOWS = 6;

    /** The longest pause after refusals, in parts of the first one. */
    private static final double MAX_BACKOFF = 16;

    private final double allowedRejections;
    private final SplittableRandom random;
    private double recentRequests;
    private double countedAt;
    private boolean isLeaderless;
    private double allowedFrom;
    private double backoff = 1;

    UnassignedSlots(double rejectionsAllowed, long seed) {
        allowedRejections = rejectionsAllowed;
        random = new SplittableRandom(seed);
    }

    /** A request for the function has come. */
    void onArrival(double now) {
        recentRequests = decayedRequests(now) + 1;
        countedAt = now;
    }

    private double decayedRequests(double now) {
        return recentRequests
                * Math.exp((countedAt - now) / (AVERAGING_WINDOWS * REJECTION_WINDOW_MS));
    }

    /** There is a leader: the next time without one begins anew. */
    void onLeader() {
        isLeaderless = false;
        backoff = 1;
    }

    /** Whether a slot may be used now, with so many schedulers in all. */
    boolean allows(double now, int schedulers) {
        if (!isLeaderless) {
            isLeaderless = true;
            double window = contentionWindow(now, schedulers);
            // Where fewer schedulers than refusals are likely to want one, none has to wait.
            boolean isImmediate =
                    window <= REJECTION_WINDOW_MS
                            || schedulers <= IMMEDIATE_FRACTION * allowedRejections;
            allowedFrom = isImmediate ? now : now + window * random.nextDouble();
        }
        return now >= allowedFrom;
    }

    /** The use was refused: the function is as full as it may be. */
    void onRejected(double now, int schedulers) {
        backoff = Math.min(MAX_BACKOFF, 2 * backoff);
        allowedFrom =
                now + backoff * Math.max(REJECTION_WINDOW_MS, contentionWindow(now, schedulers));
    }

    /** Within this span each of the contenders may be refused once. */
    private double contentionWindow(double now, int schedulers) {
        // Others have as many requests as we have, but for the one that asks.
        double contentionProbability =
                Math.min(1, Math.max(0, decayedRequests(now) - 1) / AVERAGING_WINDOWS);
        double contenders = 1 + (schedulers - 1) * contentionProbability;
        return REJECTION_WINDOW_MS
                * contenders
                / Math.max(EXPECTED_REJECTION_FRACTION * allowedRejections, Double.MIN_NORMAL);
    }
}
