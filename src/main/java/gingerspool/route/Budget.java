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
    static final double RESERVE = 1;

    private final double share;
    private final double leastPerS;
    private double level;
    private double at;

    /** First assignments a second, over the last ten. */
    private double rate;

    public Budget(Policy.Repeats r) {
        share = r.share();
        leastPerS = r.leastPerS();
        level = cap();
    }

    /** A budget with the figures of this one that goes on where another stood. */
    public Budget(Policy.Repeats r, Budget before) {
        this(r);
        if (before != null) {
            at = before.at;
            rate = before.rate;
            level = Math.min(before.level, cap());
        }
    }

    double cap() {
        return Math.max(share > 0 || leastPerS > 0 ? 1 : 0, RESERVE * (leastPerS + share * rate));
    }

    private void pass(double now) {
        double s = Math.max(0, now - at) / 1000;
        at = Math.max(at, now);
        rate *= Math.exp(-s / 10);
        level = Math.min(cap(), level + leastPerS * s);
    }

    @Override
    public void earn(double now) {
        pass(now);
        rate += 1 / 10.0;
        level = Math.min(cap(), level + share);
    }

    @Override
    public boolean allows(double now) {
        pass(now);
        return level >= 1;
    }

    @Override
    public void spend(double now) {
        pass(now);
        level -= 1;
    }
}
