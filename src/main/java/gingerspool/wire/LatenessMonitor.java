package gingerspool.wire;

import java.util.function.LongToDoubleFunction;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs a loop's late timers and slow tasks together with what its thread did meanwhile, and
 * notifies a listener of the spans in which the loop was late.
 *
 * <p>Called by {@link SingleThreadEventLoop} on the loop's thread, except {@link #setListener} and
 * {@link #close}. Instants are those of System.nanoTime.
 */
final class LatenessMonitor {
    /** A timer that is later than this and a task that takes longer than this are logged. */
    static final long LATE_THRESHOLD_NANOS = 50_000_000;

    /** Late timers are logged at most once per interval, and so are slow tasks. */
    static final long WARNING_INTERVAL_NANOS = 1_000_000_000;

    private static final double NANOS_PER_MS = 1e6;

    private final Logger log;
    private final LoopUsage usage;
    private final LongToDoubleFunction unixMs;

    private long timerWarnedAt;
    private long taskWarnedAt;
    private long notifiedUntil;
    private double maxTimerLatenessMs;

    /** Null until a listener is set; set from any thread. */
    private volatile LatenessListener listener;

    /**
     * Creates the monitor of a loop.
     *
     * @param beganAt when the loop began
     * @param unixMs converts an instant to Unix time in milliseconds
     */
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

    /** Ends the start-up: from here on the thread's usage is read regularly. */
    void startUpEnded(long now) {
        usage.startUpEnded(now);
    }

    /** Called when a timer fires, before its task runs. */
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

    /** One stall makes many timers late; only time that was not reported yet is reported. */
    private void notifyListener(long due, long now) {
        long from = due - notifiedUntil > 0 ? due : notifiedUntil;
        if (listener == null || now - from <= LATE_THRESHOLD_NANOS) {
            return;
        }
        notifiedUntil = now;
        try {
            listener.onLateSpan(span(from, now));
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

    /** Called when a task has ended. */
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

    /** The class that contains the task's code; the suffix of a lambda's class is cut off. */
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

    /** The largest lateness of a timer since the previous call, in milliseconds. */
    double takeMaxTimerLatenessMs() {
        double latest = maxTimerLatenessMs;
        maxTimerLatenessMs = 0;
        return latest;
    }

    /** Ends the readings. Called from any thread. */
    void close() {
        usage.close();
    }
}
