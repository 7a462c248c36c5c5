package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * How a thread spent a span in which it had work to do. Times are in milliseconds.
 *
 * @param withinMs the time that {@code ranMs} and {@code waitedMs} cover: from the last reading
 *     before the span to the end of the span; less than the span if no kept reading is that old
 * @param ranMs how long the thread ran
 * @param waitedMs how long the thread was ready but waited for a processor
 * @param blockedMs how long, in the covered part of the span, the thread did neither: it was
 *     stopped by a signal, a safepoint, the host, a lock, a page fault or the disk
 */
record TimeSplit(double withinMs, double ranMs, double waitedMs, double blockedMs) {
    static final TimeSplit UNKNOWN = new TimeSplit(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    /** Splits a span, given the use that was measured within {@code withinMs}. */
    static TimeSplit of(double spanMs, double withinMs, ProcessorUse used) {
        double covered = Math.min(spanMs, withinMs);
        double blocked = Math.max(0, covered - used.ranMs() - used.waitedMs());
        return new TimeSplit(withinMs, used.ranMs(), used.waitedMs(), blocked);
    }

    /** Adds the figures to a log line. */
    void describe(LoggingEventBuilder line) {
        line.addKeyValue("within_ms", Math.round(withinMs))
                .addKeyValue("ran_ms", Math.round(ranMs))
                .addKeyValue("waited_ms", Math.round(waitedMs))
                .addKeyValue("blocked_ms", Math.round(blockedMs));
    }
}
