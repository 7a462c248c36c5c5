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
final class LoopUse {
    /** The processor use is read when a task ends and the last reading is so old, */
    static final long READING_INTERVAL_NANOS = 100_000_000;

    /** or when tasks have taken so long since. */
    static final long READING_WORK_NANOS = 20_000_000;

    /** The same for the thread's stalls and the machine, which cost more to read. */
    static final long SURROUNDINGS_INTERVAL_NANOS = 1_000_000_000;

    /** Unless the start-up is said to have ended, it has after this time. */
    static final long LONGEST_START_NANOS = 10_000_000_000L;

    /** So many readings reach back 5 s; longer spans in which tasks ended are cut to that. */
    private static final int READINGS = 250;

    private static final int SURROUNDINGS = 6;

    private static final double NANOS_PER_MS = 1e6;

    /** What may hold a thread up beside its own work. */
    private record Surroundings(ThreadStalls thread, MachinePressure machine) {}

    private final LoopReadings source;
    private final ReadingHistory<ProcessorUse> uses;
    private final ReadingHistory<Surroundings> surroundings;

    /** Before this nothing is read, unless a line asks for it. */
    private long readingsFrom;

    /** When the processor use was last asked for, whether or not the system told it. */
    private long useReadAt;

    private long workSinceNanos;

    /** The same for the surroundings; the end of the start-up puts their first reading off. */
    private long surroundingsReadAt;

    /** Of a thread that began at this instant. */
    LoopUse(LoopReadings source, long beganAt) {
        this.source = source;
        useReadAt = beganAt;
        surroundingsReadAt = beganAt;
        readingsFrom = beganAt + LONGEST_START_NANOS;
        uses = new ReadingHistory<>(READINGS, beganAt, ProcessorUse.NONE);
        surroundings =
                new ReadingHistory<>(
                        SURROUNDINGS,
                        beganAt,
                        new Surroundings(ThreadStalls.NONE, MachinePressure.UNKNOWN));
    }

    /** The start-up has ended: from here on readings are taken. */
    void startUpEnded(long now) {
        if (isStarting(now)) {
            readingsFrom = now;
            surroundingsReadAt = now;
        }
    }

    private boolean isStarting(long now) {
        return now - readingsFrom < 0;
    }

    /** A task that began then has ended now: reads what is due, one thing at a time. */
    void taskEnded(long began, long now) {
        workSinceNanos += now - began;
        if (isStarting(now)) {
            return;
        }
        if (now - useReadAt >= READING_INTERVAL_NANOS || workSinceNanos >= READING_WORK_NANOS) {
            readUse(now);
        } else if (now - surroundingsReadAt >= SURROUNDINGS_INTERVAL_NANOS) {
            readSurroundings(now);
        }
    }

    /** How the thread spent a span that ends now; empty where the system does not tell. */
    Optional<TimeSplit> split(long from, long now) {
        Reading<ProcessorUse> before = uses.latestUntil(from);
        readUse(now);
        Reading<ProcessorUse> here = uses.latest();
        return here.atNanos() == now
                ? Optional.of(
                        TimeSplit.of(
                                (now - from) / NANOS_PER_MS,
                                (now - before.atNanos()) / NANOS_PER_MS,
                                here.value().since(before.value())))
                : Optional.empty();
    }

    /** Reads once for an instant: later the figures would hold what was done about it. */
    private void readUse(long now) {
        if (useReadAt == now) {
            return;
        }
        useReadAt = now;
        workSinceNanos = 0;
        Optional<ProcessorUse> use = source.processorUse();
        if (use.isPresent()) {
            uses.add(now, use.get());
        }
    }

    /** Adds to a line what is known of a span that ends now. */
    void describe(LoggingEventBuilder line, long from, long now) {
        Optional<TimeSplit> split = split(from, now);
        if (split.isPresent()) {
            split.get().describe(line);
        }
        Reading<Surroundings> before = surroundings.latestUntil(from);
        Surroundings here = readSurroundings(now);
        line.addKeyValue("around_ms", Math.round((now - before.atNanos()) / NANOS_PER_MS));
        here.thread().since(before.value().thread()).describe(line);
        here.machine().since(before.value().machine()).describe(line);
    }

    private Surroundings readSurroundings(long now) {
        MachinePressure machine =
                isStarting(now) ? MachinePressure.UNKNOWN : source.machinePressure();
        Surroundings here = new Surroundings(source.threadStalls(), machine);
        surroundings.add(now, here);
        surroundingsReadAt = now;
        return here;
    }

    /** Nothing is read from here on; from any thread. */
    void close() {
        source.close();
    }
}
