package gingerspool.dataplane;

/** The mean gap between a function's requests lately, in milliseconds. */
final class ArrivalGap {
    private static final int MAX_SAMPLES = 8;

    private final double maxGap;
    private double mean;
    private int gapCount;
    private double lastArrivalAt = Double.NEGATIVE_INFINITY;

    /** A longer gap counts as this one. */
    ArrivalGap(double longest) {
        this.maxGap = longest;
    }

    void onArrival(double now) {
        double gap = Math.min(now - lastArrivalAt, maxGap);
        mean += (gap - mean) / Math.min(++gapCount, MAX_SAMPLES);
        lastArrivalAt = now;
    }

    /** The mean, 0 before the first request. */
    double mean() {
        return mean;
    }
}
