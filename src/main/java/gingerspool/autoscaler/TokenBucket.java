package gingerspool.autoscaler;

/** A rate limit: tokens come back at a rate, as many as one second brings can be saved up. */
final class TokenBucket {
    private final double tokensPerMs;
    private double tokens = 1;
    private double filledAt;

    TokenBucket(double tokensPerMs, double now) {
        this.tokensPerMs = tokensPerMs;
        filledAt = now;
    }

    void fill(double now) {
        tokens = Math.min(tokensPerMs * 1000, tokens + (now - filledAt) * tokensPerMs);
        filledAt = now;
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    void take() {
        tokens--;
    }
}
