package gingerspool.slots;

/**
 * How often the requests of one function arrive, over all schedulers: three decayed counts, each
 * with the time that it speaks for. Rates are requests a millisecond, spans milliseconds.
 */
public final class ArrivalRate {
    /** The window of the medium count, in windows of the short one. */
    private static final double MEDIUM_WINDOW_FACTOR = 5;

    /** The window of the long count, in windows of the short one. */
    private static final double LONG_WINDOW_FACTOR = 12;

    /** A short rate so many standard deviations above the medium one is a burst. */
    private static final double BURST_DEVIATIONS = 2;

    /** So many mean gaps without a request hardly come by chance. */
    private static final double MAX_SILENT_GAPS = 3;

    /** The provisioned rate falls back over so many windows of the short count. */
    private static final double DECAY_WINDOWS = 5;

    private final DecayedCount shortTermCount;
    private final DecayedCount mediumTermCount;
    private final DecayedCount longTermCount;
    private final double shortWindow;
    private double provisionedRate;
    private double updatedAt = Double.NaN;
    private double lastArrivalAt = Double.NEGATIVE_INFINITY;

    /** Requests seen and the time they were seen in, both forgotten at the same pace. */
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

    /** So many requests have arrived since the last call, perhaps none. */
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
     * The rate over the medium window, unless the newest is surely above that. One request alone is
     * no burst, however rare they are.
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

    /** The rate to provide instances for: up at once, down slowly. */
    public double provisioned() {
        return provisionedRate;
    }

    /** The rate by which the next request is awaited; silence speaks against it. */
    public double expectedRate() {
        return Math.min(
                longTermCount.rate(shortWindow), MAX_SILENT_GAPS / (updatedAt - lastArrivalAt));
    }

    /** Whether it was watched for long enough that its expected rate says something. */
    public boolean isKnown() {
        return longTermCount.observedTime > longTermCount.window / 2;
    }
}
