package gingerspool.route;

/**
 * An admission limit on tasks in flight and on tasks per second (a token bucket). Routes calls
 * delay(), then acquire() for each admitted task, and release() once the task is answered. Times
 * are milliseconds.
 */
public final class AdmissionLimit {
    /** The usage so far, kept apart from the bounds so that it survives a reload of these. */
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

    /** Creates a limit that takes over the usage of its predecessor, which may be null. */
    public AdmissionLimit(Policy.Bound bound, AdmissionLimit before) {
        this.bound = bound;
        usage = before == null ? new Usage() : before.usage;
        adaptive =
                !bound.adaptive()
                        ? null
                        : before != null && before.adaptive != null
                                ? before.adaptive
                                : new AdaptiveLimit();
    }

    private double refill(double now) {
        double seconds = Math.max(0, now - usage.refilledAt) / 1000;
        usage.refilledAt = Math.max(usage.refilledAt, now);
        usage.tokens = Math.min(bound.burst(), usage.tokens + bound.ratePerS() * seconds);
        return usage.tokens;
    }

    /**
     * The time until another task may be admitted, in milliseconds: 0 for now, infinite when a task
     * in flight must end first.
     */
    public double delay(double now) {
        double max = adaptive != null ? adaptive.limit() : bound.maxInFlight();
        if (usage.inFlight >= max) {
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
     * Releases an answered task. The latency is in milliseconds; finished tells whether a worker
     * completed the task.
     */
    public void release(double latency, boolean finished) {
        int inFlightBefore = usage.inFlight--;
        if (adaptive != null && finished) {
            adaptive.sample(latency, inFlightBefore);
        }
    }

    public int inFlight() {
        return usage.inFlight;
    }

    /** Whether the usage equals that of a new limit, so that this one can be discarded. */
    boolean idle(double now) {
        return usage.inFlight == 0
                && (Double.isInfinite(bound.ratePerS()) || refill(now) >= bound.burst());
    }

    /** The current maximum of tasks in flight, adaptive or configured. */
    public double maxInFlight() {
        return adaptive != null ? adaptive.limit() : bound.maxInFlight();
    }
}
