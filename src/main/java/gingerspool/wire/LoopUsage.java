package gingerspool.wire;

import gingerspool.wire.ReadingHistory.Reading;
import java.util.Optional;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Measures how a loop's thread spends its time, from system readings taken when its tasks end. No
 * timer is needed for them: a loop without tasks takes no readings, since its thread neither runs
 * nor waits for a processor meanwhile. A span is therefore measured from the last reading before
 * it, however old that is, and contains little work from before the span.
 *
 * <p>Called by {@link LatenessMonitor} on the loop's thread, except {@link #close}. Instants are
 * those of System.nanoTime.
 */
final class LoopUsage {
    /** The processor use is read at the end of a task if the last reading is this old ... */
    static final long READING_INTERVAL_NANOS = 100_000_000;

    /** ... or if tasks have taken this long in total since then. */
    static final long READING_WORK_NANOS = 20_000_000;

    /** Interval of readings of the thread's stalls and of the machine, which cost more. */
    static final long ENVIRONMENT_INTERVAL_NANOS = 1_000_000_000;

    /** The start-up counts as ended after this time at the latest. */
    static final long MAX_START_UP_NANOS = 10_000_000_000L;

    /**
     * Under full load these readings cover 5 s; a longer span in which tasks ended is cut to that.
     */
    private static final int MAX_USE_READINGS = 250;

    private static final int MAX_ENVIRONMENT_READINGS = 6;

    private static final double NANOS_PER_MS = 1e6;

    /** What may delay a thread apart from its own work. */
    private record Environment(ThreadStalls thread, MachinePressure machine) {}

    private final LoopReadings source;
    private final ReadingHistory<ProcessorUse> useHistory;
    private final ReadingHistory<Environment> environmentHistory;

    /** Before this instant, readings are taken only for a late span or a log line. */
    private long readingsFrom;

    /** When the processor use was last queried, whether or not the system provided it. */
    private long useReadAt;

    private long workSinceReadingNanos;

    /** When the environment was last read; the end of the start-up postpones the first reading. */
    private long environmentReadAt;

    /** Measures a thread that began at this instant. */
    LoopUsage(LoopReadings source, long beganAt) {
        this.source = source;
        useReadAt = beganAt;
        environmentReadAt = beganAt;
        readingsFrom = beganAt + MAX_START_UP_NANOS;
        useHistory = new ReadingHistory<>(MAX_USE_READINGS, beganAt, ProcessorUse.NONE);
        environmentHistory =
                new ReadingHistory<>(
                        MAX_ENVIRONMENT_READINGS,
                        beganAt,
                        new Environment(ThreadStalls.NONE, MachinePressure.UNKNOWN));
    }

    /** Ends the start-up: from here on readings are taken regularly. */
    void startUpEnded(long now) {
        if (isStarting(now)) {
            readingsFrom = now;
            environmentReadAt = now;
        }
    }

    private boolean isStarting(long now) {
        return now - readingsFrom < 0;
    }

    /** Called when a task has ended; takes at most one of the readings that are due. */
    void taskEnded(long began, long now) {
        workSinceReadingNanos += now - began;
        if (isStarting(now)) {
            return;
        }
        if (now - useReadAt >= READING_INTERVAL_NANOS
                || workSinceReadingNanos >= READING_WORK_NANOS) {
            readUse(now);
        } else if (now - environmentReadAt >= ENVIRONMENT_INTERVAL_NANOS) {
            readEnvironment(now);
        }
    }

    /** How the thread spent a span that ends now; empty if the system does not provide it. */
    Optional<TimeSplit> split(long from, long now) {
        Reading<ProcessorUse> earlier = useHistory.latestUntil(from);
        readUse(now);
        Reading<ProcessorUse> latest = useHistory.latest();
        return latest.atNanos() == now
                ? Optional.of(
                        TimeSplit.of(
                                (now - from) / NANOS_PER_MS,
                                (now - earlier.atNanos()) / NANOS_PER_MS,
                                latest.value().since(earlier.value())))
                : Optional.empty();
    }

    /**
     * Reads the processor use, once per instant: a second reading for the same instant would
     * include the work of reporting it.
     */
    private void readUse(long now) {
        if (useReadAt == now) {
            return;
        }
        useReadAt = now;
        workSinceReadingNanos = 0;
        Optional<ProcessorUse> use = source.processorUse();
        if (use.isPresent()) {
            useHistory.add(now, use.get());
        }
    }

    /** Adds to a log line what is known about a span that ends now. */
    void describe(LoggingEventBuilder line, long from, long now) {
        Optional<TimeSplit> split = split(from, now);
        if (split.isPresent()) {
            split.get().describe(line);
        }
        Reading<Environment> earlier = environmentHistory.latestUntil(from);
        Environment current = readEnvironment(now);
        line.addKeyValue("around_ms", Math.round((now - earlier.atNanos()) / NANOS_PER_MS));
        current.thread().since(earlier.value().thread()).describe(line);
        current.machine().since(earlier.value().machine()).describe(line);
    }

    private Environment readEnvironment(long now) {
        MachinePressure machine =
                isStarting(now) ? MachinePressure.UNKNOWN : source.machinePressure();
        Environment current = new Environment(source.threadStalls(), machine);
        environmentHistory.add(now, current);
        environmentReadAt = now;
        return current;
    }

    /** Ends the readings. Called from any thread. */
    void close() {
        source.close();
    }
}
