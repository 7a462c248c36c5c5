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

    /** Place of the field in the first line of stat, "cpu USER NICE ...". */
    private static final int STEAL_TICKS = 8;

    private static final double MS_PER_TICK = 10;
    private static final String TOTAL = " total=";
    private static final double MICROS_PER_MS = 1e3;

    /** Reads the machine's stat and the three files of pressure; an empty text is not known. */
    static MachinePressure parse(String stat, String processor, String disk, String memory) {
        return new MachinePressure(
                steal(stat), pressure(processor), pressure(disk), pressure(memory));
    }

    private static double steal(String stat) {
        if (!stat.startsWith("cpu ")) {
            return Double.NaN;
        }
        String[] fields = firstLine(stat).replace("cpu  ", "cpu ").split(" ");
        return KernelFigures.at(fields, STEAL_TICKS) * MS_PER_TICK;
    }

    /** Reads "some avg10=... total=MICROSECONDS". */
    private static double pressure(String text) {
        String line = firstLine(text);
        int total = line.indexOf(TOTAL);
        return line.startsWith("some ") && total >= 0
                ? KernelFigures.parse(line.substring(total + TOTAL.length())) / MICROS_PER_MS
                : Double.NaN;
    }

    private static String firstLine(String text) {
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
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
