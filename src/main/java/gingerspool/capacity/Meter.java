package gingerspool.capacity;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;

/**
 * Processor time of threads and heap that stays in use. The processor time holds no garbage
 * collection, which runs on threads of the virtual machine.
 */
final class Meter {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    /** The serial collector leaves dead objects in place but for every fourth full collection. */
    private static final int COLLECTIONS = 4;

    private static final double NANOS_IN_MICRO = 1000;

    /** A loop is run for this long before it counts, so that it is compiled. */
    private static final long WARM_NANOS = 60_000_000;

    /** And then so many times for this long; the least counts, as other load only adds. */
    private static final long COUNTED_NANOS = 30_000_000;

    private static final int SPANS = 3;

    private static final int THREADS_MOST = 100;

    private Meter() {}

    /** A step that may fail. */
    interface Step {
        void run() throws Exception;
    }

    /** A thing that is made, and that stays in use while the heap is measured. */
    interface Maker {
        Object make() throws Exception;
    }

    /** Microseconds of this thread's processor time a run of the step. */
    static double microsOf(Step step) throws Exception {
        repeat(step, WARM_NANOS);
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < SPANS; i++) {
            long before = THREADS.getCurrentThreadCpuTime();
            long runs = repeat(step, COUNTED_NANOS);
            double micros = (THREADS.getCurrentThreadCpuTime() - before) / NANOS_IN_MICRO;
            least = Math.min(least, micros / runs);
        }
        return least;
    }

    private static long repeat(Step step, long nanos) throws Exception {
        long runs = 0;
        long end = System.nanoTime() + nanos;
        do {
            step.run();
            runs++;
        } while (System.nanoTime() < end);
        return runs;
    }

    /** Bytes of heap that what is made keeps in use. */
    static double heapOf(Maker maker) throws Exception {
        long before = heap();
        Object made = maker.make();
        long after = heap();
        java.lang.ref.Reference.reachabilityFence(made);
        return after - before;
    }

    private static long heap() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** Makes something in a group of threads, to which all threads belong that it starts. */
    static <T> T inGroup(ThreadGroup group, Callable<T> maker) throws Exception {
        FutureTask<T> task = new FutureTask<>(maker);
        new Thread(group, task, group.getName()).start();
        return task.get();
    }

    /** Microseconds of processor time of the group's threads so far. */
    static double micros(ThreadGroup group) {
        Thread[] threads = new Thread[THREADS_MOST];
        int count = group.enumerate(threads);
        return Arrays.stream(threads, 0, count)
                        .mapToLong(t -> THREADS.getThreadCpuTime(t.getId()))
                        .filter(nanos -> nanos > 0)
                        .sum()
                / NANOS_IN_MICRO;
    }
}
