package gingerspool.route;

import gingerspool.dispatch.RetryBudget;

/**
 * The budget of further assignments and copies: each first assignment earns a share of one, and so
 * many a second come besides. What is not used is kept only as far as RESERVE goes, so a quiet hour
 * does not pay for a storm. The rule is that of Finagle's RetryBudget (a share of first tries plus
 * a small floor, kept for ten seconds); a level that is capped stands in for its leaking bucket.
 *
 * <p>In any span of T seconds with n first assignments, at most cap + share * n + leastPerS * T go
 * out, where cap is RESERVE seconds of both (one at the least).
 */
public final class Budget implements RetryBudget {
    /** Seconds of earnings that may be kept. */
    static final double RESERVE_S = 1;

    private final double share;
    private final double minPerS;
    private double tokens;
    private double updatedAt;

    /** First assignments a second, over the last ten. */
    private double earningRatePerS;

    public Budget(Policy.Repeats r) {
        share = r.share();
        minPerS = r.leastPerS();
        tokens = cap();
    }

    /** A budget with the figures of this one that goes on where another stood. */
    public Budget(Policy.Repeats r, Budget before) {
        this(r);
        if (before != null) {
            updatedAt = before.updatedAt;
            earningRatePerS = before.earningRatePerS;
            tokens = Math.min(before.tokens, cap());
        }
    }

    double cap() {
        return Math.max(
                share > 0 || minPerS > 0 ? 1 : 0, RESERVE_S * (minPerS + share * earningRatePerS));
    }

    private void refill(double now) {
        double s = Math.max(0, now - updatedAt) / 1000;
        updatedAt = Math.max(updatedAt, now);
        earningRatePerS *= Math.exp(-s / 10);
        tokens = Math.min(cap(), tokens + minPerS * s);
    }

    @Override
    public void earn(double now) {
        refill(now);
        earningRatePerS += 1 / 10.0;
        tokens = Math.min(cap(), tokens + share);
    }

    @Override
    public boolean allows(double now) {
        refill(now);
        return tokens >= 1;
    }

    @Override
    public void spend(double now) {
        refill(now);
        tokens -= 1;
    }
}
