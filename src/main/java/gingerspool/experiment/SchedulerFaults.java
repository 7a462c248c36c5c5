package gingerspool.experiment;

import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What a scenario has happen to schedulers: ends and new starts, replacements, pauses and the calls
 * of operators.
 *
 * <p>Thread: any; a fault blocks its caller until it is over.
 */
final class SchedulerFaults {
    /** The faults that befall schedulers. */
    static final Set<String> KINDS =
            Set.of(
                    "scheduler-killed",
                    "scheduler-terminated",
                    "scheduler-replaced",
                    "scheduler-hangup",
                    "scheduler-drained",
                    "scheduler-paused",
                    "heir-killed",
                    "suspend");

    private static final long LEAVES_WITHIN_S = 8;

    /** How soon the front notices that a scheduler says no, in ms. */
    private static final long FRONT_LOOKS_MS = 300;

    private final SchedulerProcesses processes;
    private final int schedulers;
    private final FaultRecord record;

    SchedulerFaults(SchedulerProcesses processes, int schedulers, FaultRecord record) {
        this.processes = processes;
        this.schedulers = schedulers;
        this.record = record;
    }

    /** Plays one fault of these kinds, which is due now. */
    void play(Plan.Blow b) throws IOException, InterruptedException {
        Scenario.Fault f = b.fault();
        switch (f.what) {
            case "scheduler-replaced" -> succeed(f.scheduler, "replaced");
            case "heir-killed" -> killHeir(f);
            case "scheduler-drained" -> drain(f);
            case "scheduler-hangup" -> hangUp(f.scheduler);
            case "scheduler-paused" -> pause(f);
            case "suspend" -> suspend(b);
            default -> end(f);
        }
    }

    /**
     * Starts another process; once it has the clients, this is noted, and all before it are to
     * leave. One that a later process has overtaken is not waited for.
     */
    private void succeed(int i, String note) throws IOException, InterruptedException {
        InetSocketAddress own = processes.nextAddress();
        List<Process> before = new ArrayList<>();
        Process successor = processes.startBeside(i, own, before);
        try {
            processes.until(i, successor, own, "/v1/readyz");
        } catch (IOException e) {
            if (processes.newest(i) == successor && !processes.isKilled(successor)) {
                throw e;
            }
            return;
        }
        processes.operators().serves(i, own, successor);
        record.scheduler(i, note);
        before.forEach(Process::destroy);
        if (!SchedulerProcesses.allEnded(before)) {
            record.scheduler(i, "killed");
            for (Process old : before) {
                old.destroyForcibly().waitFor();
            }
            record.scheduler(i, "up");
        }
    }

    /** The second process is killed this long after its start, wherever it stands then. */
    private void killHeir(Scenario.Fault f) throws IOException, InterruptedException {
        Process heir = processes.start(f.scheduler, processes.nextAddress());
        Thread.sleep((long) f.length);
        record.scheduler(f.scheduler, "heir-killed");
        heir.destroyForcibly().waitFor();
        processes.forget(f.scheduler, heir);
        processes.untilOneServes(f.scheduler);
    }

    /**
     * Has the process that operators know of read its configuration again. One that has just been
     * started may not take the signal yet, whose default ends it.
     */
    private void hangUp(int i) throws IOException, InterruptedException {
        String pid = Long.toString(processes.serving(i).pid());
        new ProcessBuilder("kill", "-HUP", pid).inheritIO().start().waitFor();
    }

    private void pause(Scenario.Fault f) throws InterruptedException {
        Process process =
                switch (f.process) {
                    case "newest" -> processes.newest(f.scheduler);
                    case "before" -> processes.before(f.scheduler);
                    default -> processes.serving(f.scheduler);
                };
        int i = f.scheduler;
        List<Process> before = processes.all(i);
        Set<Process> others = new HashSet<>();
        processes
                .pauses()
                .pause(
                        process,
                        (long) f.length,
                        (what, at) -> {
                            others.addAll(processes.beside(i, process, before));
                            record.pauseAt(i, what, at, process.pid(), others.size());
                        });
    }

    private void drain(Scenario.Fault f) throws IOException, InterruptedException {
        processes.operators().call(f.scheduler, "/v1/scheduler/drain");
        Thread.sleep(FRONT_LOOKS_MS);
        record.scheduler(f.scheduler, "drained");
        Thread.sleep((long) f.length);
        processes.operators().call(f.scheduler, "/v1/scheduler/activate");
        if (processes.ready(f.scheduler)) {
            record.scheduler(f.scheduler, "up");
        }
    }

    private void suspend(Plan.Blow b) throws IOException, InterruptedException {
        for (boolean on : new boolean[] {true, false}) {
            for (int w : b.workers()) {
                for (int i = 0; i < schedulers; i++) {
                    suspend(i, Plan.name(w), on);
                }
            }
            Thread.sleep(on ? (long) b.fault().length : 0);
        }
    }

    /**
     * Guards the record: where bans of one worker overlap, the calls that begin and end them reach
     * a scheduler in the order in which they are written down.
     */
    private synchronized void suspend(int scheduler, String worker, boolean on)
            throws IOException, InterruptedException {
        String path = "/v1/workers/" + worker + (on ? "/suspend" : "/resume");
        if (!on) {
            record.scheduler(scheduler, "resumed " + worker);
        }
        if (processes.operators().call(scheduler, path) && on) {
            record.scheduler(scheduler, "suspended " + worker);
        }
    }

    private void end(Scenario.Fault f) throws IOException, InterruptedException {
        Process p = processes.newest(f.scheduler);
        boolean kill = f.what.equals("scheduler-killed");
        processes.ends(p);
        record.scheduler(f.scheduler, kill ? "killed" : "terminated");
        processes.addCpu(p);
        if (kill) {
            p.destroyForcibly().waitFor();
            Thread.sleep((long) f.length);
        } else {
            p.destroy();
            if (!p.waitFor(LEAVES_WITHIN_S, TimeUnit.SECONDS)) {
                p.destroyForcibly().waitFor();
            }
        }
        if (processes.isOver()) {
            return;
        }
        if (processes.operators() == null) {
            processes.start(f.scheduler, null);
            processes.ready(f.scheduler);
            record.scheduler(f.scheduler, "up");
        } else {
            // Beside it another process may live: it was killed while it replaced that one.
            succeed(f.scheduler, "up");
        }
    }
}
