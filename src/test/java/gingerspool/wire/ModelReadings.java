package gingerspool.wire;

import java.util.Optional;

/** What a modelled system tells of a thread: a test adds to the figures as time passes. */
final class ModelReadings implements LoopReadings {
    double ranMs;
    double waitedMs;
    double majorFaults;
    double diskMs;

    /** Whether the system has the files at all. */
    boolean isSilent;

    int useReadings;
    int stallReadings;
    int machineReadings;
    boolean isClosed;

    @Override
    public Optional<ProcessorUse> processorUse() {
        useReadings++;
        return isSilent ? Optional.empty() : Optional.of(new ProcessorUse(ranMs, waitedMs));
    }

    @Override
    public ThreadStalls threadStalls() {
        stallReadings++;
        return isSilent ? ThreadStalls.UNKNOWN : new ThreadStalls(majorFaults, 0);
    }

    @Override
    public MachinePressure machinePressure() {
        machineReadings++;
        return isSilent ? MachinePressure.UNKNOWN : new MachinePressure(0, 0, diskMs, Double.NaN);
    }

    @Override
    public void close() {
        isClosed = true;
    }
}
