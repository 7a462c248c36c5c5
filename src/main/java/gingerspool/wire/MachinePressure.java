package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * What has held up the machine as a whole, in milliseconds since it began. A figure that the system
 * does not tell is NaN.
 *
 * @param stealMs time that the host did not give, of all processors together
 * @param processorMs time in which some task of the machine waited for a processor
 * @param diskMs the same for the disk
 * @param memoryMs the same for memory
 */
record MachinePressure(double stealMs, double processorMs, double diskMs, double memoryMs) {
    static final MachinePressure UNKNOWN =
            new MachinePressure(Double.NaN, Double.NaN, Double.NaN, Double.NaN);

    private static final String ALL_PROCESSORS = "cpu  ";
    private static final String SOME = "some ";

    /** Place of the field in the first line of stat, after the name. */
    private static final int STEAL_TICKS = 7;

    private static final double MS_PER_TICK = 10;
    private static final String TOTAL = " total=";
    private static final double MICROS_PER_MS = 1e3;

    /** Reads the machine's stat and the three files of pressure; an empty text is not known. */
    static MachinePressure parse(String stat, String processor, String disk, String memory) {
        return new MachinePressure(
                steal(stat), pressure(processor), pressure(disk), pressure(memory));
    }

    private static double steal(String stat) {
        return stat.startsWith(ALL_PROCESSORS)
                ? KernelFigures.field(stat, ALL_PROCESSORS.length(), STEAL_TICKS) * MS_PER_TICK
                : Double.NaN;
    }

    /** Reads "some avg10=... total=MICROSECONDS" and not the line after it. */
    private static double pressure(String text) {
        int total = text.indexOf(TOTAL);
        return text.startsWith(SOME) && total >= 0
                ? KernelFigures.numberAt(text, total + TOTAL.length()) / MICROS_PER_MS
                : Double.NaN;
    }

    /** What came on top of an earlier reading. */
    MachinePressure since(MachinePressure earlier) {
        return new MachinePressure(
                stealMs - earlier.stealMs,
                processorMs - earlier.processorMs,
                diskMs - earlier.diskMs,
                memoryMs - earlier.memoryMs);
    }

    /** Adds what is known. */
    void describe(LoggingEventBuilder line) {
        KernelFigures.add(line, "steal_ms", stealMs);
        KernelFigures.add(line, "cpu_pressure_ms", processorMs);
        KernelFigures.add(line, "disk_pressure_ms", diskMs);
        KernelFigures.add(line, "memory_pressure_ms", memoryMs);
    }
}
