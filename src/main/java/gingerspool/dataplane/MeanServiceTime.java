package gingerspool.dataplane;

/** The moving average of the time that a function's requests run, in milliseconds. */
final class MeanServiceTime {
    /** A new sample has a weight of 1 / SAMPLES. */
    private static final int SAMPLES = 16;

    private double mean;

    /** The mean; 0 before the first sample. */
    double mean() {
        return mean;
    }

    void add(double time) {
        mean += (time - mean) / (mean == 0 ? 1 : SAMPLES);
    }
}
