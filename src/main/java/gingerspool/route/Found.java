package gingerspool.route;

/**
 * A limit on tasks in hand that follows the latency of answers: the gradient rule that Netflix published with its
 * concurrency limits ("Gradient2"). Over a window of answers the short-term mean is held against a slow one; where
 * it is more than TOLERANCE above, the limit shrinks by the ratio, else it may grow by the root of itself. It
 * moves a fifth of the way at a time, and does not grow while less than half of it is used.
 */
final class Found {
    static final double FIRST = 20;
    static final double LEAST = 4;
    static final double MOST = 10_000;
    private static final double TOLERANCE = 1.5;
    private static final double SMOOTH = 0.2;
    /** Answers in a window, and windows that the slow mean looks back over. */
    private static final int WINDOW = 16;
    private static final int SLOW = 64;

    private double limit = FIRST;
    private double slow;
    private double sum;
    private int count;
    private int most;
    private int windows;

    double limit() {
        return Math.floor(limit);
    }

    /** An answer came after so many milliseconds, when so many tasks were in hand. */
    void sample(double latency, int inHand) {
        sum += latency;
        most = Math.max(most, inHand);
        if (++count < WINDOW) {
            return;
        }
        double quick = Math.max(sum / count, 1e-3);
        windows = Math.min(windows + 1, SLOW);
        slow += (quick - slow) / windows;
        // Guards the way down: after a jam the slow mean would stay high for long and hide the next one.
        slow = slow / quick > 2 ? slow * 0.95 : slow;
        if (most >= limit / 2) {
            double gradient = Math.max(0.5, Math.min(1, TOLERANCE * slow / quick));
            double next = limit * gradient + Math.sqrt(limit);
            limit = Math.max(LEAST, Math.min(MOST, limit * (1 - SMOOTH) + SMOOTH * next));
        }
        sum = 0;
        count = 0;
        most = 0;
    }
}
