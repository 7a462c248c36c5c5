package gingerspool.autoscaler;

/** A rate limiter whose burst size is the number of tokens that accrue within one second. */
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
