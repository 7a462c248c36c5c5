package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * How long tasks of the whole machine were delayed, in milliseconds since it began or since an
 * earlier reading. A figure that the system does not provide is NaN.
 *
 * @param stealMs processor time that the host did not grant, summed over all processors
 * @param processorMs time in which at least one task waited for a processor
 * @param diskMs time in which at least one task waited for the disk
 * @param memoryMs time in which at least one task waited for memory
 */
record MachinePressure(double stealMs, double processorMs, double diskMs, double memoryMs) {
    static final MachinePressure UNKNOWN =
            new MachinePressure(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private static final String ALL_PROCESSORS_PREFIX = "cpu  ";
    private static final String SOME_PREFIX = "some ";

    /** Index of the field in the first line of /proc/stat, after the name. */
    private static final int STEAL_TICKS_FIELD = 7;

    private static final double MS_PER_TICK = 10;
    private static final String TOTAL_KEY = " total=";
    private static final double MICROS_PER_MS = 1e3;

    /** Parses /proc/stat and the three files of /proc/pressure; an empty text gives NaN. */
    static MachinePressure parse(String stat, String processor, String disk, String memory) {
        return new MachinePressure(
                steal(stat), pressure(processor), pressure(disk), pressure(memory));
    }

    private static double steal(String stat) {
        return stat.startsWith(ALL_PROCESSORS_PREFIX)
                ? KernelFigures.field(stat, ALL_PROCESSORS_PREFIX.length(), STEAL_TICKS_FIELD)
                        * MS_PER_TICK
                : Double.NaN;
    }

    /** Parses "some avg10=... total=MICROSECONDS"; the "full" line after it is not read. */
    private static double pressure(String text) {
        int total = text.indexOf(TOTAL_KEY);
        return text.startsWith(SOME_PREFIX) && total >= 0
                ? KernelFigures.numberAt(text, total + TOTAL_KEY.length()) / MICROS_PER_MS
                : Double.NaN;
    }

    /** The increase since an earlier reading. */
    MachinePressure since(MachinePressure earlier) {
        return new MachinePressure(
                stealMs - earlier.stealMs,
                processorMs - earlier.processorMs,
                diskMs - earlier.diskMs,
                memoryMs - earlier.memoryMs);
    }

    /** Adds the known figures to a log line. */
    void describe(LoggingEventBuilder line) {
        KernelFigures.addIfKnown(line, "steal_ms", stealMs);
        KernelFigures.addIfKnown(line, "cpu_pressure_ms", processorMs);
        KernelFigures.addIfKnown(line, "disk_pressure_ms", diskMs);
        KernelFigures.addIfKnown(line, "memory_pressure_ms", memoryMs);
    }
}
