package gingerspool.slots;

/**
 * Estimates the arrival rate of one function's requests, summed over all schedulers, from counts
 * that decay exponentially over a short, a medium and a long window. The allocator feeds it, the
 * autoscaler reads it. Rates are requests per millisecond, times milliseconds.
 */
public final class ArrivalRate {
    /** The medium window, in short windows. */
    private static final double MEDIUM_WINDOW_FACTOR = 5;

    /** The long window, in short windows. */
    private static final double LONG_WINDOW_FACTOR = 12;

    /**
     * The short-term rate counts as a burst if it exceeds the medium-term rate by more than this
     * many standard deviations.
     */
    private static final double BURST_DEVIATIONS = 2;

    /**
     * Silence for longer than this many mean interarrival times is unlikely to be chance, so it
     * lowers the expected rate.
     */
    private static final double MAX_SILENT_GAPS = 3;

    /** The time constant with which the provisioned rate decays after a peak, in short windows. */
    private static final double DECAY_WINDOWS = 5;

    private final DecayedCount shortTermCount;
    private final DecayedCount mediumTermCount;
    private final DecayedCount longTermCount;
    private final double shortWindow;
    private double provisionedRate;
    private double updatedAt = Double.NaN;
    private double lastArrivalAt = Double.NEGATIVE_INFINITY;

    /** A count of requests and the time in which they were observed, both decaying alike. */
    private static final class DecayedCount {
        final double window;
        double requests;
        double observedTime;

        DecayedCount(double window) {
            this.window = window;
        }

        void add(double elapsed, long newRequests) {
            double retainedShare = Math.exp(-elapsed / window);
            requests = requests * retainedShare + newRequests;
            observedTime = observedTime * retainedShare + window * (1 - retainedShare);
        }

        double rate(double minTime) {
            return requests / Math.max(observedTime, minTime);
        }
    }

    ArrivalRate(double shortWindow) {
        this.shortWindow = shortWindow;
        shortTermCount = new DecayedCount(shortWindow);
        mediumTermCount = new DecayedCount(MEDIUM_WINDOW_FACTOR * shortWindow);
        longTermCount = new DecayedCount(LONG_WINDOW_FACTOR * shortWindow);
    }

    /** Adds the requests that have arrived since the last call, possibly none. */
    void add(double now, long newRequests) {
        double elapsed = Double.isNaN(updatedAt) ? 0 : now - updatedAt;
        updatedAt = now;
        lastArrivalAt = newRequests > 0 ? now : lastArrivalAt;
        shortTermCount.add(elapsed, newRequests);
        mediumTermCount.add(elapsed, newRequests);
        longTermCount.add(elapsed, newRequests);
        double rate = currentRate();
        double decay = Math.exp(-elapsed / (DECAY_WINDOWS * shortWindow));
        provisionedRate = Math.max(rate, rate + (provisionedRate - rate) * decay);
    }

    /**
     * The medium-term rate, or the short-term rate during a burst. A single request is never a
     * burst, however rare requests are.
     */
    private double currentRate() {
        double mediumRate = mediumTermCount.rate(shortWindow);
        double shortRate = shortTermCount.rate(shortWindow);
        double rateOfOneRequest = 1 / shortWindow;
        double standardDeviation = Math.sqrt(mediumRate / (2 * shortWindow));
        return shortRate > mediumRate + BURST_DEVIATIONS * standardDeviation + rateOfOneRequest
                ? shortRate
                : mediumRate;
    }

    /** The rate to provide capacity for. It rises at once and falls slowly. */
    public double provisionedRate() {
        return provisionedRate;
    }

    /** The rate at which further requests are expected: the long-term rate, lower after silence. */
    public double expectedRate() {
        return Math.min(
                longTermCount.rate(shortWindow), MAX_SILENT_GAPS / (updatedAt - lastArrivalAt));
    }

    /** Whether the function has been observed for long enough to rely on the expected rate. */
    public boolean isKnown() {
        return longTermCount.observedTime > longTermCount.window / 2;
    }
}
