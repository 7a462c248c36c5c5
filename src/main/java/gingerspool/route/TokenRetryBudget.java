package gingerspool.route;

import gingerspool.dispatch.RetryBudget;

/**
 * A token bucket for retries and copies: each first assignment earns a share of a token, and
 * minPerS tokens accrue per second. Unused tokens are capped at RESERVE_S seconds of earnings, so
 * an idle period cannot fund a retry storm. The rule is that of Finagle's RetryBudget (a share of
 * first tries plus a small floor, kept for ten seconds), with a capped level in place of its leaky
 * bucket.
 *
 * <p>In any period of T seconds with n first assignments, at most cap + share * n + minPerS * T
 * retries and copies are sent, where cap is RESERVE_S seconds of both (at least one).
 */
public final class TokenRetryBudget implements RetryBudget {
    /** Maximum reserve, in seconds of earnings. */
    static final double RESERVE_S = 1;

    private final double share;
    private final double minPerS;
    private double tokens;
    private double updatedAt;

    /** First assignments per second, decayed with a time constant of ten seconds. */
    private double earningRatePerS;

    public TokenRetryBudget(Policy.Repeats r) {
        share = r.share();
        minPerS = r.minPerS();
        tokens = cap();
    }

    /** Creates a budget that takes over the tokens of its predecessor, which may be null. */
    public TokenRetryBudget(Policy.Repeats r, TokenRetryBudget before) {
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
        double seconds = Math.max(0, now - updatedAt) / 1000;
        updatedAt = Math.max(updatedAt, now);
        earningRatePerS *= Math.exp(-seconds / 10);
        tokens = Math.min(cap(), tokens + minPerS * seconds);
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
