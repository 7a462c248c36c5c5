package gingerspool.store;

/**
 * How long a connection may rest and be used again. Workers, and what stands between, may drop
 * connections at rest sooner than they say, and without a word: one that breaks as it is used again
 * tells so.
 */
final class IdleTimeout {
    /** The shortest span, in parts of the longest, from where it can grow again. */
    private static final double LEAST = 1.0 / 1024;

    private final double most;
    private double span;
    private double since;

    IdleTimeout(double most) {
        this.most = most;
        span = most;
    }

    /** The span that is held safe now: it doubles in the time of the longest one. */
    double span(double now) {
        return span < most ? Math.min(most, span * Math.pow(2, (now - since) / most)) : most;
    }

    /** One that had rested so long broke when it was used again. */
    void broke(double now, double rested) {
        span = Math.max(Math.min(span(now), rested) / 2, most * LEAST);
        since = now;
    }
}
