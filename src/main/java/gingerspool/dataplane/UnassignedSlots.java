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
    private static final double AT_ONCE_PART = 0.8;

    /**
     * The mean number of refusals aimed at otherwise, in parts of those allowed: times are drawn,
     * and contenders are only estimated.
     */
    private static final double EXPECTED_PART = 0.25;

    /** Requests are counted over so many windows. */
    private static final double COUNTED_WINDOWS = 6;

    /** The longest pause after refusals, in parts of the first one. */
    private static final double LONGEST_PAUSES = 16;

    private final double allowed;
    private final SplittableRandom chance;
    private double requests;
    private double countedAt;
    private boolean waiting;
    private double notBefore;
    private double pauses = 1;

    UnassignedSlots(double refusalsAllowed, long seed) {
        allowed = refusalsAllowed;
        chance = new SplittableRandom(seed);
    }

    /** A request for the function has come. */
    void onArrival(double now) {
        requests = count(now) + 1;
        countedAt = now;
    }

    private double count(double now) {
        return requests * Math.exp((countedAt - now) / (COUNTED_WINDOWS * REJECTION_WINDOW_MS));
    }

    /** There is a leader: the next time without one begins anew. */
    void onLeader() {
        waiting = false;
        pauses = 1;
    }

    /** Whether a slot may be used now, with so many schedulers in all. */
    boolean allows(double now, int schedulers) {
        if (!waiting) {
            waiting = true;
            double span = span(now, schedulers);
            // Where fewer schedulers than refusals are likely to want one, none has to wait.
            boolean atOnce = span <= REJECTION_WINDOW_MS || schedulers <= AT_ONCE_PART * allowed;
            notBefore = atOnce ? now : now + span * chance.nextDouble();
        }
        return now >= notBefore;
    }

    /** The use was refused: the function is as full as it may be. */
    void onRejected(double now, int schedulers) {
        pauses = Math.min(LONGEST_PAUSES, 2 * pauses);
        notBefore = now + pauses * Math.max(REJECTION_WINDOW_MS, span(now, schedulers));
    }

    /** Within this span each of the contenders may be refused once. */
    private double span(double now, int schedulers) {
        // Others have as many requests as we have, but for the one that asks.
        double wanting = Math.min(1, Math.max(0, count(now) - 1) / COUNTED_WINDOWS);
        double contenders = 1 + (schedulers - 1) * wanting;
        return REJECTION_WINDOW_MS
                * contenders
                / Math.max(EXPECTED_PART * allowed, Double.MIN_NORMAL);
    }
}
