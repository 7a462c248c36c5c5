package gingerspool.wire;

import java.util.Optional;

/**
 * How long a thread has run, and how long it was ready and waited for a processor, as Linux counts
 * both: what tells a loop that works too long from one that gets no processor. Times are
 * milliseconds; a thread that runs is counted up to the kernel's last tick, some milliseconds ago.
 */
record ProcessorUse(double ranMs, double waitedMs) {
    /** That of a thread that begins. */
    static final ProcessorUse NONE = new ProcessorUse(0, 0);

    private static final double NANOS_PER_MS = 1e6;

    /** Reads "RAN WAITED SLICES" of schedstat, the first two in nanoseconds. */
    static Optional<ProcessorUse> parse(String line) {
        double ran = KernelFigures.field(line, 0, 0);
        double waited = KernelFigures.field(line, 0, 1);
        return Double.isNaN(ran) || Double.isNaN(waited)
                ? Optional.empty()
                : Optional.of(new ProcessorUse(ran / NANOS_PER_MS, waited / NANOS_PER_MS));
    }

    /** What came on top of an earlier reading of the same thread. */
    ProcessorUse since(ProcessorUse earlier) {
        return new ProcessorUse(ranMs - earlier.ranMs, waitedMs - earlier.waitedMs);
    }
}
