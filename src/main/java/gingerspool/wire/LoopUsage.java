package gingerspool.wire;

import gingerspool.wire.ReadingHistory.Reading;
import java.util.Optional;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * How a loop's thread spent its time, by readings that are taken as its tasks end. They wake nobody
 * up: a loop without tasks takes none, and needs none, since its thread neither runs nor waits for
 * a processor meanwhile. So a span begins at the reading before it however old that is, and shows
 * little work that is not its own. Instants are those of System.nanoTime.
 */
final class LoopUsage {
    /** The processor use is read when a task ends and the last reading is so old, */
    static final long READING_INTERVAL_NANOS = 100_000_000;

    /** or when tasks have taken so long since. */
    static final long READING_WORK_NANOS = 20_000_000;

    /** The same for the thread's stalls and the machine, which cost more to read. */
    static final long ENVIRONMENT_INTERVAL_NANOS = 1_000_000_000;

    /** Unless the start-up is said to have ended, it has after this time. */
    static final long MAX_START_UP_NANOS = 10_000_000_000L;

    /** So many readings reach back 5 s; longer spans in which tasks ended are cut to that. */
    private static final int MAX_USE_READINGS = 250;

    private static final int MAX_ENVIRONMENT_READINGS = 6;

    private static final double NANOS_PER_MS = 1e6;

    /** What may hold a thread up beside its own work. */
    private record Environment(ThreadStalls thread, MachinePressure machine) {}

    private final LoopReadings source;
    private final ReadingHistory<ProcessorUse> useHistory;
    private final ReadingHistory<Environment> environmentHistory;

    /** Before this nothing is read, unless a line asks for it. */
    private long readingsFrom;

    /** When the processor use was last asked for, whether or not the system told it. */
    private long useReadAt;

    private long workSinceReadingNanos;

    /** The same for the surroundings; the end of the start-up puts their first reading off. */
    private long environmentReadAt;

    /** Of a thread that began at this instant. */
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

    /** The start-up has ended: from here on readings are taken. */
    void startUpEnded(long now) {
        if (isStarting(now)) {
            readingsFrom = now;
            environmentReadAt = now;
        }
    }

    private boolean isStarting(long now) {
        return now - readingsFrom < 0;
    }

    /** A task that began then has ended now: reads what is due, one thing at a time. */
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

    /** How the thread spent a span that ends now; empty where the system does not tell. */
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

    /** Reads once for an instant: later the figures would hold what was done about it. */
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

    /** Adds to a line what is known of a span that ends now. */
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

    /** Nothing is read from here on; from any thread. */
    void close() {
        source.close();
    }
}
