package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * What a thread did in a span in which it had something to do. Times are milliseconds.
 *
 * @param withinMs the time that the two next figures cover: the span, and what lies between the
 *     reading before it and its beginning; less than the span if no reading is that old
 * @param blockedMs of the span as far as it is covered, what it neither ran nor waited for a
 *     processor: stopped by a signal, a safepoint or the host, by a lock, a page fault or the disk
 */
record TimeSplit(double withinMs, double ranMs, double waitedMs, double blockedMs) {
    static final TimeSplit UNKNOWN = new TimeSplit(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    static TimeSplit of(double spanMs, double withinMs, ProcessorUse used) {
        double covered = Math.min(spanMs, withinMs);
        double blocked = Math.max(0, covered - used.ranMs() - used.waitedMs());
        return new TimeSplit(withinMs, used.ranMs(), used.waitedMs(), blocked);
    }

    void describe(LoggingEventBuilder line) {
        line.addKeyValue("within_ms", Math.round(withinMs))
                .addKeyValue("ran_ms", Math.round(ranMs))
                .addKeyValue("waited_ms", Math.round(waitedMs))
                .addKeyValue("blocked_ms", Math.round(blockedMs));
    }
}
