package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** The readings that this system provides are consistent with what the thread does. */
public class KernelReadingsTest {
    private static final long SPIN_NANOS = 20_000_000;

    /** A busy thread has run or waited, if the system provides the figures. */
    @Test
    public void busyThreadHasProcessorUse() {
        try (KernelReadings readings = new KernelReadings()) {
            Optional<ProcessorUse> before = readings.processorUse();
            long until = System.nanoTime() + SPIN_NANOS;
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            Optional<ProcessorUse> after = readings.processorUse();
            assertEquals(after.isPresent(), before.isPresent());
            after.ifPresent(
                    use -> {
                        ProcessorUse meanwhile = use.since(before.orElseThrow());
                        assertTrue(meanwhile.ranMs() + meanwhile.waitedMs() > 0, meanwhile + "");
                    });
        }
    }

    /** No figure ever decreases, so the difference of two readings is never negative. */
    @Test
    public void figuresNeverDecrease() {
        try (KernelReadings readings = new KernelReadings()) {
            ThreadStalls stalls = readings.threadStalls();
            MachinePressure machine = readings.machinePressure();
            ThreadStalls stallsSince = readings.threadStalls().since(stalls);
            MachinePressure since = readings.machinePressure().since(machine);
            assertTrue(!(stallsSince.majorFaults() < 0), stallsSince + "");
            assertTrue(!(stallsSince.diskWaitMs() < 0), stallsSince + "");
            assertTrue(!(since.stealMs() < 0), since + "");
            assertTrue(!(since.processorMs() < 0), since + "");
            assertTrue(!(since.diskMs() < 0), since + "");
            assertTrue(!(since.memoryMs() < 0), since + "");
        }
    }

    @Test
    public void closedReadingsAreUnknown() {
        KernelReadings readings = new KernelReadings();
        readings.close();
        assertEquals(readings.processorUse(), Optional.empty());
        assertEquals(readings.threadStalls(), ThreadStalls.UNKNOWN);
        assertEquals(readings.machinePressure(), MachinePressure.UNKNOWN);
    }
}
