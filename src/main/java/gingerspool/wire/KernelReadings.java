package gingerspool.wire;

import java.util.Optional;

/**
 * Readings from the files below /proc of Linux. They are empty or unknown on other systems and
 * where a file is missing.
 */
final class KernelReadings implements LoopReadings {
    private final KernelFile processorUse = new KernelFile("/proc/thread-self/schedstat");
    private final KernelFile threadStalls = new KernelFile("/proc/thread-self/stat");
    private final KernelFile machineStat = new KernelFile("/proc/stat");
    private final KernelFile processorPressure = new KernelFile("/proc/pressure/cpu");
    private final KernelFile diskPressure = new KernelFile("/proc/pressure/io");
    private final KernelFile memoryPressure = new KernelFile("/proc/pressure/memory");

    @Override
    public Optional<ProcessorUse> processorUse() {
        String line = processorUse.read();
        return line.isEmpty() ? Optional.empty() : ProcessorUse.parse(line);
    }

    @Override
    public ThreadStalls threadStalls() {
        return ThreadStalls.parse(threadStalls.read());
    }

    @Override
    public MachinePressure machinePressure() {
        return MachinePressure.parse(
                machineStat.read(),
                processorPressure.read(),
                diskPressure.read(),
                memoryPressure.read());
    }

    @Override
    public void close() {
        processorUse.close();
        threadStalls.close();
        machineStat.close();
        processorPressure.close();
        diskPressure.close();
        memoryPressure.close();
    }
}
