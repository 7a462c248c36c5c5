package gingerspool.dataplane;

/** The mean running time of a function's requests, in milliseconds, newer ones counting more. */
final class MeanServiceTime {
    /** The weight of a new time is one in so many. */
    private static final int SAMPLES = 16;

    private double mean;

    /** The mean, 0 where none was seen. */
    double mean() {
        return mean;
    }

    void add(double time) {
        mean += (time - mean) / (mean == 0 ? 1 : SAMPLES);
    }
}
