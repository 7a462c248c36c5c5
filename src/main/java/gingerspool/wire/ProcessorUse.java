package gingerspool.wire;

import java.util.Optional;

/**
 * How long a thread has run and how long it was ready but waited for a processor, as counted by
 * Linux. This distinguishes a loop whose tasks take too long from one that gets no processor. Times
 * are in milliseconds; the count of a running thread ends at the kernel's last tick, some
 * milliseconds ago.
 */
record ProcessorUse(double ranMs, double waitedMs) {
    /** The use of a thread that has just begun. */
    static final ProcessorUse NONE = new ProcessorUse(0, 0);

    private static final double NANOS_PER_MS = 1e6;

    /** Parses "RAN WAITED SLICES" of /proc/thread-self/schedstat, the first two in nanoseconds. */
    static Optional<ProcessorUse> parse(String line) {
        double ran = KernelFigures.field(line, 0, 0);
        double waited = KernelFigures.field(line, 0, 1);
        return Double.isNaN(ran) || Double.isNaN(waited)
                ? Optional.empty()
                : Optional.of(new ProcessorUse(ran / NANOS_PER_MS, waited / NANOS_PER_MS));
    }

    /** The increase since an earlier reading of the same thread. */
    ProcessorUse since(ProcessorUse earlier) {
        return new ProcessorUse(ranMs - earlier.ranMs, waitedMs - earlier.waitedMs);
    }
}
