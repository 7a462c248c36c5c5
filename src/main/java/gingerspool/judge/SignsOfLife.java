package gingerspool.judge;

import java.util.Arrays;
import java.util.List;
import java.util.stream.DoubleStream;

/**
 * The times at which the tool is known to have run, in Unix ms: when it read an answer or the end
 * of a connection, and when it wrote a request.
 */
final class SignsOfLife {
    private final double[] ordered;

    SignsOfLife(List<Records.Try> tries) {
        ordered =
                tries.stream()
                        .flatMapToDouble(SignsOfLife::of)
                        .filter(at -> !Double.isNaN(at))
                        .sorted()
                        .toArray();
    }

    private static DoubleStream of(Records.Try t) {
        boolean isRead = t.isAnswered() || t.status().equals("broke");
        return isRead ? DoubleStream.of(t.written(), t.at()) : DoubleStream.of(t.written());
    }

    /** The first sign after this time; infinity where there is none. */
    double firstAfter(double time) {
        int found = Arrays.binarySearch(ordered, Math.nextUp(time));
        int next = found < 0 ? -found - 1 : found;
        return next < ordered.length ? ordered[next] : Double.POSITIVE_INFINITY;
    }
}
