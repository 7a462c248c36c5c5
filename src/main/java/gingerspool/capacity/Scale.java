package gingerspool.capacity;

import java.util.Arrays;

/**
 * How much is measured: sizes are divided by a number, each is measured in so many rounds, and
 * links are watched for so many heartbeat intervals of so many milliseconds. The seed makes names
 * and draws repeatable.
 */
public record Scale(int divisor, int rounds, int intervals, double interval, long seed) {
    /** What the published tables are made with. */
    public static final Scale FULL = new Scale(1, 2, 3, 1200, 1);

    /** For tests: seconds, and next to no memory. */
    public static final Scale SMALL = new Scale(20, 1, 2, 300, 1);

    int[] sizes(int... full) {
        return Arrays.stream(full).map(n -> Math.max(2, n / divisor)).toArray();
    }
}
