package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * What made a thread wait for the disk, as counted by Linux. A figure that the system does not
 * provide is NaN.
 *
 * @param majorFaults page faults that had to read from the disk
 * @param diskWaitMs how long the thread waited for reads and writes of the disk, in milliseconds;
 *     always 0 on a system that does not count it (kernel.task_delayacct)
 */
record ThreadStalls(double majorFaults, double diskWaitMs) {
    static final ThreadStalls UNKNOWN = new ThreadStalls(Double.NaN, Double.NaN);

    /** The counts of a thread that has just begun. */
    static final ThreadStalls NONE = new ThreadStalls(0, 0);

    private static final String END_OF_NAME = ") ";

    /** Indexes of fields, counted after the thread's name, since the name may contain blanks. */
    private static final int MAJOR_FAULTS_FIELD = 9;

    private static final int DISK_WAIT_TICKS_FIELD = 39;

    private static final double MS_PER_TICK = 10;

    /** Parses the line of /proc/thread-self/stat: "ID (NAME) STATE ...". */
    static ThreadStalls parse(String line) {
        int endOfName = line.lastIndexOf(END_OF_NAME);
        if (endOfName < 0) {
            return UNKNOWN;
        }
        int start = endOfName + END_OF_NAME.length();
        return new ThreadStalls(
                KernelFigures.field(line, start, MAJOR_FAULTS_FIELD),
                KernelFigures.field(line, start, DISK_WAIT_TICKS_FIELD) * MS_PER_TICK);
    }

    /** The increase since an earlier reading of the same thread. */
    ThreadStalls since(ThreadStalls earlier) {
        return new ThreadStalls(majorFaults - earlier.majorFaults, diskWaitMs - earlier.diskWaitMs);
    }

    /** Adds the known figures to a log line; no disk_wait_ms of 0, since it may not be counted. */
    void describe(LoggingEventBuilder line) {
        KernelFigures.addIfKnown(line, "major_faults", majorFaults);
        if (diskWaitMs > 0) {
            KernelFigures.addIfKnown(line, "disk_wait_ms", diskWaitMs);
        }
    }
}
