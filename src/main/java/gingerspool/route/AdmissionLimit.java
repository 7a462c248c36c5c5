package gingerspool.route;

/**
 * One bound on what is taken in: tasks in hand and tasks a second (a token bucket). Ask admits(),
 * then call taken() for each task that is taken, and done() once it has its answer.
 */
public final class AdmissionLimit {
    /** What counts, apart from the figures, so that it outlives a change of these. */
    static final class Usage {
        int inFlight;
        double tokens = Double.POSITIVE_INFINITY;
        double refilledAt;
    }

    private final Policy.Bound bound;
    private final Usage usage;
    private final AdaptiveLimit adaptive;

    public AdmissionLimit(Policy.Bound bound) {
        this(bound, null);
    }

    /** A limit that goes on counting where the one before it stood; that may be null. */
    public AdmissionLimit(Policy.Bound bound, AdmissionLimit before) {
        this.bound = bound;
        usage = before == null ? new Usage() : before.usage;
        adaptive =
                !bound.found()
                        ? null
                        : before != null && before.adaptive != null
                                ? before.adaptive
                                : new AdaptiveLimit();
    }

    private double refill(double now) {
        double s = Math.max(0, now - usage.refilledAt) / 1000;
        usage.refilledAt = Math.max(usage.refilledAt, now);
        usage.tokens = Math.min(bound.burst(), usage.tokens + bound.ratePerS() * s);
        return usage.tokens;
    }

    /**
     * How long until another may be taken, in milliseconds: 0 now, infinite when one in hand must
     * end first.
     */
    public double delay(double now) {
        double most = adaptive != null ? adaptive.limit() : bound.inHand();
        if (usage.inFlight >= most) {
            return Double.POSITIVE_INFINITY;
        }
        return Double.isInfinite(bound.ratePerS()) || refill(now) >= 1
                ? 0
                : (1 - usage.tokens) / bound.ratePerS() * 1000;
    }

    public void acquire(double now) {
        usage.inFlight++;
        if (!Double.isInfinite(bound.ratePerS())) {
            refill(now);
            usage.tokens -= 1;
        }
    }

    /**
     * A task has its answer, so long after it came (milliseconds); finished tells whether a worker
     * did it.
     */
    public void release(double latency, boolean finished) {
        int before = usage.inFlight--;
        if (adaptive != null && finished) {
            adaptive.sample(latency, before);
        }
    }

    public int inFlight() {
        return usage.inFlight;
    }

    /** Whether it holds nothing that a new one would not. */
    boolean idle(double now) {
        return usage.inFlight == 0
                && (Double.isInfinite(bound.ratePerS()) || refill(now) >= bound.burst());
    }

    /** The most tasks in hand now, found or set. */
    public double maxInFlight() {
        return adaptive != null ? adaptive.limit() : bound.inHand();
    }
}
