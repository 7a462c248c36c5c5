package gingerspool.wire;

import java.io.Closeable;
import java.util.Optional;

/**
 * What the system tells of a loop's thread and of the machine. Called on that thread; no call
 * throws.
 */
interface LoopReadings extends Closeable {
    /** That of the calling thread since it began; empty where the system does not tell. */
    Optional<ProcessorUse> processorUse();

    /** Those of the calling thread since it began. */
    ThreadStalls threadStalls();

    MachinePressure machinePressure();

    /** Nothing is told from here on. */
    @Override
    void close();
}
