package gingerspool.wire;

import java.util.function.LongToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs a loop's late timers and slow tasks with what its thread did meanwhile, and tells a listener
 * of the time in which the loop was late. Used on the loop alone; instants are those of
 * System.nanoTime.
 */
final class LatenessMonitor {
    /** A timer that fires later, and a task that takes longer than this is logged. */
    static final long LATE_THRESHOLD_NANOS = 50_000_000;

    /** Late timers are logged once in this time at the most, and so are slow tasks. */
    static final long WARNING_INTERVAL_NANOS = 1_000_000_000;

    private static final double NANOS_PER_MS = 1e6;

    private final Logger log;
    private final LoopUsage usage;
    private final LongToDoubleFunction unixMs;

    private long timerWarnedAt;
    private long taskWarnedAt;
    private long notifiedUntil;
    private double maxTimerLatenessMs;

    /** Null as long as nobody listens; set from any thread. */
    private volatile LatenessListener listener;

    /** For a loop that began at this instant, and whose instants are told so in Unix time. */
    LatenessMonitor(Logger log, LoopUsage usage, long beganAt, LongToDoubleFunction unixMs) {
        this.log = log;
        this.usage = usage;
        this.unixMs = unixMs;
        timerWarnedAt = beganAt - WARNING_INTERVAL_NANOS;
        taskWarnedAt = timerWarnedAt;
        notifiedUntil = beganAt;
    }

    void setListener(LatenessListener listener) {
        this.listener = listener;
    }

    /** The start-up has ended: from here on the thread's time is read. */
    void startUpEnded(long now) {
        usage.startUpEnded(now);
    }

    /** A timer that was due then fires now. */
    void timerFired(long due, long now) {
        long late = now - due;
        maxTimerLatenessMs = Math.max(maxTimerLatenessMs, late / NANOS_PER_MS);
        if (late <= LATE_THRESHOLD_NANOS) {
            return;
        }
        notifyListener(due, now);
        if (now - timerWarnedAt > WARNING_INTERVAL_NANOS) {
            timerWarnedAt = now;
            startWarning(due, now).log("loop.timer_late");
        }
    }

    /** One stall makes many timers late: only the time that was not told yet is. */
    private void notifyListener(long due, long now) {
        long from = due - notifiedUntil > 0 ? due : notifiedUntil;
        if (listener == null || now - from <= LATE_THRESHOLD_NANOS) {
            return;
        }
        notifiedUntil = now;
        try {
            listener.late(span(from, now));
        } catch (RuntimeException e) {
            log.atError().setCause(e).log("loop.task_failed");
        }
    }

    private LateSpan span(long from, long now) {
        double fromMs = unixMs.applyAsDouble(from);
        double untilMs = unixMs.applyAsDouble(now);
        TimeSplit split = usage.split(from, now).orElse(TimeSplit.UNKNOWN);
        return new LateSpan(fromMs, untilMs, split.ranMs(), split.waitedMs(), split.blockedMs());
    }

    /** A task that began then has ended now. */
    void taskEnded(Runnable task, long began, long now) {
        if (now - began > LATE_THRESHOLD_NANOS && now - taskWarnedAt > WARNING_INTERVAL_NANOS) {
            taskWarnedAt = now;
            startWarning(began, now).addKeyValue("task", taskName(task)).log("loop.task_slow");
        }
        if (listener != null) {
            startUpEnded(now);
        }
        usage.taskEnded(began, now);
    }

    /** The class that the task's code stands in: the part before the mark of a lambda's class. */
    private static String taskName(Runnable task) {
        String name = task.getClass().getName();
        int lambda = name.indexOf("$$");
        return name.substring(
                name.lastIndexOf('.', lambda < 0 ? name.length() : lambda) + 1,
                lambda < 0 ? name.length() : lambda);
    }

    private LoggingEventBuilder startWarning(long from, long now) {
        LoggingEventBuilder line =
                log.atWarn().addKeyValue("ms", Math.round((now - from) / NANOS_PER_MS));
        usage.describe(line, from, now);
        return line;
    }

    /** The most that a timer was late by, in milliseconds, since this was last called. */
    double takeMaxTimerLatenessMs() {
        double latest = maxTimerLatenessMs;
        maxTimerLatenessMs = 0;
        return latest;
    }

    /** The thread is read no more; from any thread. */
    void close() {
        usage.close();
    }
}
