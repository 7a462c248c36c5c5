package gingerspool.wire;

/**
 * A time in which an event loop did not run a timer that was due. Times are in milliseconds; {@code
 * ranMs}, {@code waitedMs} and {@code blockedMs} are NaN if the system does not provide them.
 * {@code ranMs} and {@code waitedMs} may include some 20 ms from before the span, by which {@code
 * blockedMs} is then too low.
 *
 * @param fromMs the start, in Unix time as returned by {@link EventLoop#now}
 * @param untilMs the end, likewise
 * @param ranMs how long the thread ran
 * @param waitedMs how long the thread was ready but waited for a processor
 * @param blockedMs how long the thread did neither: it was stopped by a signal, a safepoint, a
 *     lock, a page fault or a write that waits for the disk
 */
public record LateSpan(
        double fromMs, double untilMs, double ranMs, double waitedMs, double blockedMs) {}
