package gingerspool.dataplane;

/** The mean gap between a function's requests lately, in milliseconds. */
final class ArrivalGap {
    private static final int SAMPLES = 8;

    private final double longest;
    private double mean;
    private int gaps;
    private double arrivedAt = Double.NEGATIVE_INFINITY;

    /** A longer gap counts as this one. */
    ArrivalGap(double longest) {
        this.longest = longest;
    }

    void onArrival(double now) {
        double gap = Math.min(now - arrivedAt, longest);
        mean += (gap - mean) / Math.min(++gaps, SAMPLES);
        arrivedAt = now;
    }

    /** The mean, 0 before the first request. */
    double mean() {
        return mean;
    }
}
