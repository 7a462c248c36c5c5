package gingerspool.wire;

/**
 * A time in which an event loop did not run a timer that was due: its limits in Unix time as {@link
 * EventLoop#now} tells it, and how long in it the thread ran, was ready but waited for a processor,
 * and did neither. Times are milliseconds; the last three are NaN where the system does not tell.
 * The first two of them may hold some 20 ms of work before the span, which the third then lacks.
 *
 * @param blockedMs stopped by a signal, a safepoint, a lock, a page fault or a write that waits for
 *     the disk
 */
public record LateSpan(
        double fromMs, double untilMs, double ranMs, double waitedMs, double blockedMs) {}
