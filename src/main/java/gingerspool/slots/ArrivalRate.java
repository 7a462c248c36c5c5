package gingerspool.slots;

/**
 * How often the requests of one function arrive, over all schedulers: three decayed counts, each
 * with the time that it speaks for. Rates are requests a millisecond, spans milliseconds.
 */
public final class ArrivalRate {
    /** The window of the medium count, in windows of the short one. */
    private static final double MEDIUM_WINDOWS = 5;

    /** The window of the long count, in windows of the short one. */
    private static final double LONG_WINDOWS = 12;

    /** A short rate so many standard deviations above the medium one is a burst. */
    private static final double BURST_DEVIATIONS = 2;

    /** So many mean gaps without a request hardly come by chance. */
    private static final double SILENT_GAPS = 3;

    /** The provisioned rate falls back over so many windows of the short count. */
    private static final double DECAY_WINDOWS = 5;

    private final DecayedCount shortTerm;
    private final DecayedCount mediumTerm;
    private final DecayedCount longTerm;
    private final double window;
    private double provisioned;
    private double updatedAt = Double.NaN;
    private double arrivedAt = Double.NEGATIVE_INFINITY;

    /** Requests seen and the time they were seen in, both forgotten at the same pace. */
    private static final class DecayedCount {
        final double window;
        double requests;
        double time;

        DecayedCount(double window) {
            this.window = window;
        }

        void add(double elapsed, long more) {
            double kept = Math.exp(-elapsed / window);
            requests = requests * kept + more;
            time = time * kept + window * (1 - kept);
        }

        double rate(double leastTime) {
            return requests / Math.max(time, leastTime);
        }
    }

    ArrivalRate(double window) {
        this.window = window;
        shortTerm = new DecayedCount(window);
        mediumTerm = new DecayedCount(MEDIUM_WINDOWS * window);
        longTerm = new DecayedCount(LONG_WINDOWS * window);
    }

    /** So many requests have arrived since the last call, perhaps none. */
    void add(double now, long more) {
        double elapsed = Double.isNaN(updatedAt) ? 0 : now - updatedAt;
        updatedAt = now;
        arrivedAt = more > 0 ? now : arrivedAt;
        shortTerm.add(elapsed, more);
        mediumTerm.add(elapsed, more);
        longTerm.add(elapsed, more);
        double current = current();
        double decay = Math.exp(-elapsed / (DECAY_WINDOWS * window));
        provisioned = Math.max(current, current + (provisioned - current) * decay);
    }

    /**
     * The rate over the medium window, unless the newest is surely above that. One request alone is
     * no burst, however rare they are.
     */
    private double current() {
        double usual = mediumTerm.rate(window);
        double newest = shortTerm.rate(window);
        double oneRequest = 1 / window;
        double deviation = Math.sqrt(usual / (2 * window));
        return newest > usual + BURST_DEVIATIONS * deviation + oneRequest ? newest : usual;
    }

    /** The rate to provide instances for: up at once, down slowly. */
    public double provisioned() {
        return provisioned;
    }

    /** The rate by which the next request is awaited; silence speaks against it. */
    public double expected() {
        return Math.min(longTerm.rate(window), SILENT_GAPS / (updatedAt - arrivedAt));
    }

    /** Whether it was watched for long enough that its expected rate says something. */
    public boolean isKnown() {
        return longTerm.time > longTerm.window / 2;
    }
}
