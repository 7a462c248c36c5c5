package gingerspool.wire;

import gingerspool.wire.ReadingHistory.Reading;
import java.util.Optional;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * How a loop's thread spent its time, by readings that are taken as its tasks end. They wake nobody
 * up: a loop without tasks takes none, and needs none, since its thread neither runs nor waits for
 * a processor meanwhile. So a span begins at the reading before it however old that is, and shows
 * at most the work of one interval that is not its own. Instants are those of System.nanoTime.
 */
final class LoopUse {
    /** The processor use is read when a task ends and the last reading is so old. */
    static final long READING_INTERVAL_NANOS = 50_000_000;

    /** The same for the thread's stalls and the machine, which cost more to read. */
    static final long SURROUNDINGS_INTERVAL_NANOS = 1_000_000_000;

    /** Nothing is read in the beginning, which is short of time, unless a line asks for it. */
    static final long FIRST_READING_NANOS = 1_000_000_000;

    /** So many readings reach back 5 s; longer spans in which tasks ended are cut to that. */
    private static final int READINGS = 100;

    private static final int SURROUNDINGS = 6;

    private static final double NANOS_PER_MS = 1e6;

    /** What may hold a thread up beside its own work. */
    private record Surroundings(ThreadStalls thread, MachinePressure machine) {}

    private final LoopReadings source;
    private final long firstReadingAt;
    private final ReadingHistory<ProcessorUse> uses;
    private final ReadingHistory<Surroundings> surroundings;

    /** When the processor use was last asked for, whether or not the system told it. */
    private long useReadAt;

    /** Of a thread that began at this instant. */
    LoopUse(LoopReadings source, long beganAt) {
        this.source = source;
        useReadAt = beganAt;
        firstReadingAt = beganAt + FIRST_READING_NANOS;
        uses = new ReadingHistory<>(READINGS, beganAt, ProcessorUse.NONE);
        surroundings =
                new ReadingHistory<>(
                        SURROUNDINGS,
                        beganAt,
                        new Surroundings(ThreadStalls.NONE, MachinePressure.UNKNOWN));
    }

    /** A task has ended: reads what was not read lately, one thing at a time. */
    void readIfDue(long now) {
        if (now - firstReadingAt < 0) {
            return;
        }
        if (now - useReadAt >= READING_INTERVAL_NANOS) {
            readUse(now);
        } else if (now - surroundings.latest().atNanos() >= SURROUNDINGS_INTERVAL_NANOS) {
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
        boolean isBeginning = now - firstReadingAt < 0;
        MachinePressure machine = isBeginning ? MachinePressure.UNKNOWN : source.machinePressure();
        Surroundings here = new Surroundings(source.threadStalls(), machine);
        surroundings.add(now, here);
        return here;
    }

    /** Nothing is read from here on; from any thread. */
    void close() {
        source.close();
    }
}
