package gingerspool.experiment;

import gingerspool.scenario.Plan;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Plays the faults that don't befall workers, each when it is due and on a thread of its own, so
 * that they overlap as the scenario has them.
 */
final class FaultThreads {
    private final SchedulerFaults schedulers;
    private final MachineFaults machine;
    private final BooleanSupplier isOver;
    private final PrintStream out;
    private final List<Thread> threads = new ArrayList<>();

    FaultThreads(
            SchedulerFaults schedulers,
            MachineFaults machine,
            BooleanSupplier isOver,
            PrintStream out) {
        this.schedulers = schedulers;
        this.machine = machine;
        this.isOver = isOver;
        this.out = out;
    }

    /** Their times count from now. */
    void start(List<Plan.Blow> blows) {
        long from = System.nanoTime();
        for (Plan.Blow b : blows) {
            boolean ofScheduler = SchedulerFaults.KINDS.contains(b.fault().what);
            if (ofScheduler || MachineFaults.KINDS.contains(b.fault().what)) {
                Thread thread = new Thread(() -> play(b, ofScheduler, from), "fault");
                thread.setDaemon(true);
                thread.start();
                threads.add(thread);
            }
        }
    }

    private void play(Plan.Blow b, boolean ofScheduler, long from) {
        try {
            long sinceMs = (System.nanoTime() - from) / 1_000_000;
            Thread.sleep(Math.max(0, (long) b.fault().at - sinceMs));
            if (isOver.getAsBoolean()) {
                return;
            }
            if (ofScheduler) {
                schedulers.play(b);
            } else {
                machine.play(b.fault());
            }
        } catch (IOException | InterruptedException e) {
            if (!isOver.getAsBoolean()) {
                String whom = ofScheduler ? "scheduler " + b.fault().scheduler : "the machine";
                out.println("  a fault on " + whom + " went wrong: " + e.getMessage());
            }
        }
    }

    /** Faults that are under way end as soon as they can. */
    void interrupt() {
        threads.forEach(Thread::interrupt);
    }
}
