package gingerspool.autoscaler;

/** A rate limit: tokens come back at a rate, as many as one second brings can be saved up. */
final class TokenBucket {
    private final double tokensPerMs;
    private double tokens = 1;
    private double refilledAt;

    TokenBucket(double tokensPerMs, double now) {
        this.tokensPerMs = tokensPerMs;
        refilledAt = now;
    }

    void refill(double now) {
        tokens = Math.min(tokensPerMs * 1000, tokens + (now - refilledAt) * tokensPerMs);
        refilledAt = now;
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    void take() {
        tokens--;
    }
}
