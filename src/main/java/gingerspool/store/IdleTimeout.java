package gingerspool.store;

/**
 * An adaptive limit on how long a connection may be idle and still be reused. Workers and network
 * devices on the way to them may drop idle connections earlier than announced, without notifying
 * us; this shows only when a connection breaks on reuse. Each such failure sets the timeout to half
 * of the idle time seen or of the current timeout, whichever is shorter, down to a lower bound. The
 * timeout then recovers exponentially to its maximum.
 *
 * <p>Used by one {@link ConnectionPool}, on its thread. Times are milliseconds.
 */
final class IdleTimeout {
    /** The lowest timeout as a fraction of the maximum; above zero so that it can recover. */
    private static final double MIN_FRACTION = 1.0 / 1024;

    private final double maxMs;

    /** The timeout set by the last failure; the maximum if there was none. */
    private double reducedToMs;

    /** The time of the last failure. */
    private double reducedAtMs;

    IdleTimeout(double maxMs) {
        this.maxMs = maxMs;
        reducedToMs = maxMs;
    }

    /**
     * Returns the current timeout. After a reduction it doubles every {@code maxMs} milliseconds
     * until it reaches the maximum.
     */
    double currentMs(double nowMs) {
        return reducedToMs < maxMs
                ? Math.min(maxMs, reducedToMs * Math.pow(2, (nowMs - reducedAtMs) / maxMs))
                : maxMs;
    }

    /** Reduces the timeout after a connection broke on reuse. */
    void reuseFailed(double nowMs, double idleMs) {
        reducedToMs = Math.max(Math.min(currentMs(nowMs), idleMs) / 2, maxMs * MIN_FRACTION);
        reducedAtMs = nowMs;
    }
}
