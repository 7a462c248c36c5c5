package gingerspool.wire;

import java.io.Closeable;
import java.util.Optional;

/**
 * Readings that the operating system provides about a loop's thread and the machine. Called on that
 * thread, except {@link #close}, which may be called from any thread; no call throws.
 */
interface LoopReadings extends Closeable {
    /** The use of the calling thread since it began; empty if the system does not provide it. */
    Optional<ProcessorUse> processorUse();

    /** The stalls of the calling thread since it began. */
    ThreadStalls threadStalls();

    /** The pressure on the whole machine since it began. */
    MachinePressure machinePressure();

    /** Ends the readings: later ones are empty or unknown. */
    @Override
    void close();
}
