package gingerspool.dataplane;

/**
 * The mean time between recent requests of a function, in milliseconds. Used by {@link
 * SlotReturns}.
 */
final class ArrivalGap {
    /** A new gap has a weight of at least 1 / MAX_SAMPLES. */
    private static final int MAX_SAMPLES = 8;

    private final double maxGap;
    private double mean;
    private int gapCount;
    private double lastArrivalAt = Double.NEGATIVE_INFINITY;

    /** Gaps longer than `maxGap` ms count as `maxGap`. */
    ArrivalGap(double maxGap) {
        this.maxGap = maxGap;
    }

    void onArrival(double now) {
        double gap = Math.min(now - lastArrivalAt, maxGap);
        mean += (gap - mean) / Math.min(++gapCount, MAX_SAMPLES);
        lastArrivalAt = now;
    }

    /** The mean; 0 before the first request. */
    double mean() {
        return mean;
    }
}
