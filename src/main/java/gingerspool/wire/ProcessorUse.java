package gingerspool.wire;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/**
 * How long a thread has run, and how long it was ready and waited for a processor, as Linux counts
 * both: what tells a loop that works too long from one that gets no processor. Times are
 * milliseconds.
 */
record ProcessorUse(double ranMs, double waitedMs) {
    private static final Path OF_THIS_THREAD = Path.of("/proc/thread-self/schedstat");
    private static final double NANOS_PER_MS = 1e6;

    /** That of the calling thread since it began; empty where the system does not tell. */
    static Optional<ProcessorUse> ofThisThread() {
        try {
            return parse(Files.readString(OF_THIS_THREAD));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Reads "RAN WAITED SLICES", the first two in nanoseconds. */
    static Optional<ProcessorUse> parse(String line) {
        String[] fields = line.strip().split(" ");
        try {
            return Optional.of(
                    new ProcessorUse(
                            Long.parseLong(fields[0]) / NANOS_PER_MS,
                            Long.parseLong(fields[1]) / NANOS_PER_MS));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /** What came on top of an earlier reading of the same thread. */
    ProcessorUse since(ProcessorUse earlier) {
        return new ProcessorUse(ranMs - earlier.ranMs, waitedMs - earlier.waitedMs);
    }
}
