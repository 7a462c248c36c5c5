package gingerspool.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Pauses of processes. Each process that is paused goes on: when its time is over, when the thread
 * that waits for that is interrupted, and at the latest when all of them end.
 *
 * <p>Thread: any; a pause blocks its caller for as long as it lasts.
 */
final class ProcessPauses {
    /** Has one end of a pause written down; times are those of the clock given. */
    interface Written {
        void at(String what, double timeMs) throws InterruptedException;
    }

    private final DoubleSupplier now;

    /** How many pauses of a process go on: it goes on after the last of them. */
    private final Map<Process, Integer> paused = new HashMap<>();

    private boolean isOver;

    ProcessPauses(DoubleSupplier now) {
        this.now = now;
    }

    /**
     * Pauses a process for so long. Written are the moment just before the stop and the one just
     * after the process goes on, also where the caller is interrupted; nothing where it has ended,
     * or all pauses have.
     */
    void pause(Process process, long forMs, Written written) throws InterruptedException {
        double from = stop(process);
        if (Double.isNaN(from)) {
            return;
        }
        try {
            written.at("paused", from);
            Thread.sleep(forMs);
        } finally {
            written.at("continued", goOn(process));
        }
    }

    private synchronized double stop(Process process) {
        double from = now.getAsDouble();
        if (isOver || !ProcessSignals.pause(process)) {
            return Double.NaN;
        }
        paused.merge(process, 1, Integer::sum);
        return from;
    }

    private synchronized double goOn(Process process) {
        if (paused.merge(process, -1, Integer::sum) <= 0) {
            paused.remove(process);
            ProcessSignals.goOn(process);
        }
        return now.getAsDouble();
    }

    /** Has every paused process go on, and none be paused any more. */
    synchronized void end() {
        isOver = true;
        paused.keySet().forEach(ProcessSignals::goOn);
    }
}
