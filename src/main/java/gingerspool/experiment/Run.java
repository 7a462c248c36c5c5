package gingerspool.experiment;

import gingerspool.judge.Judge;
import gingerspool.judge.Verdict;
import gingerspool.load.Load;
import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import gingerspool.standin.Fleet;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * One playing of a scenario: schedulers as processes, fleet and load beside them, then the judge.
 */
final class Run {
    /** How long the list and the connections get before the load. */
    private static final long SETTLES_MS = 300;

    /** What a side of a comparison is: a jar or class path, and an operator's file or null. */
    record Side(String name, List<String> classPath, Path file) {}

    private final Plan plan;
    private final Scenario s;
    private final Side side;
    private final Path folder;
    private final PrintStream out;
    private Load load;

    /** CPU time of all schedulers since the load began, in ms, as the system told it. */
    private double cpuMs;

    Run(Plan plan, Side side, Path folder, PrintStream out) {
        this.plan = plan;
        s = plan.scenario;
        this.side = side;
        this.folder = folder;
        this.out = out;
    }

    Verdict play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("plan.txt"), plan.text());
        SingleThreadEventLoop fleetLoop = new SingleThreadEventLoop();
        SingleThreadEventLoop loadLoop = new SingleThreadEventLoop();
        Path clients = folder.resolve("clients.tsv");
        Path executions = folder.resolve("executions.tsv");
        SchedulerProcesses processes = new SchedulerProcesses(s, side, folder, loadLoop::now);
        try {
            processes.chooseAddresses();
            Fleet fleet = new Fleet(fleetLoop, plan, processes.addresses(), executions);
            LoopCalls.on(fleetLoop, fleet::start);
            startSchedulers(processes, fleet, loadLoop);
            Thread.sleep(SETTLES_MS);
            processes.markCpu();
            load = new Load(loadLoop, plan, processes.addresses(), clients);
            fleetLoop.submit(fleet::play);
            playLoad(processes, loadLoop);
            LoopCalls.on(loadLoop, load::close);
            processes.stopAll();
            cpuMs = processes.cpuMs();
            LoopCalls.on(fleetLoop, fleet::close);
        } finally {
            processes.killAll();
            if (load != null) {
                load.closeConnections();
            }
            loadLoop.stop();
            fleetLoop.stop();
            processes.releasePorts();
        }
        return Judge.judge(clients, executions);
    }

    private void startSchedulers(
            SchedulerProcesses processes, Fleet fleet, SingleThreadEventLoop loadLoop)
            throws IOException, InterruptedException {
        if (s.hasOperators()) {
            processes.operatedBy(
                    new Operators(
                            loadLoop::now,
                            processes::isKilled,
                            call -> loadLoop.submit(() -> load.note(call))));
        }
        if (s.pausesSchedulers()) {
            ProcessSignals.load();
        }
        for (int i = 0; i < s.schedulers.count; i++) {
            processes.startFirst(i, plan.seed, fleet.discovery(i));
        }
        for (int i = 0; i < s.schedulers.count; i++) {
            processes.ready(i);
        }
    }

    /** Plays load and faults; at its end no fault goes on. */
    private void playLoad(SchedulerProcesses processes, SingleThreadEventLoop loadLoop)
            throws IOException, InterruptedException {
        FaultRecord record = new FaultRecord(loadLoop, load);
        CompletableFuture<Void> done = new CompletableFuture<>();
        try (MachineFaults machine = new MachineFaults(s, folder, record)) {
            SchedulerFaults schedulers = new SchedulerFaults(processes, s.schedulers.count, record);
            FaultThreads faults = new FaultThreads(schedulers, machine, processes::isOver, out);
            loadLoop.submit(() -> load.play(() -> done.complete(null)));
            faults.start(plan.blows);
            try {
                waitFor(done, loadLoop);
            } finally {
                processes.endFaults();
                faults.interrupt();
            }
        }
    }

    Load load() {
        return load;
    }

    double cpuMs() {
        return cpuMs;
    }

    private void waitFor(CompletableFuture<Void> done, SingleThreadEventLoop loop)
            throws InterruptedException, IOException {
        double most = s.length + 3 * s.longestExpiry() + 30_000;
        for (double waited = 0; !done.isDone(); waited += 1000) {
            try {
                done.get(1, TimeUnit.SECONDS);
            } catch (TimeoutException e) {
                loop.submit(() -> out.println("  " + load.progress()));
            } catch (ExecutionException e) {
                throw new IOException(e.getCause());
            }
            if (waited > most) {
                throw new IOException("the load did not end within " + most + " ms");
            }
        }
        Thread.sleep((long) s.drain);
    }

    /** The arguments that start this very program again. */
    static List<String> ownClassPath() {
        String path = System.getProperty("java.class.path");
        return path.endsWith(".jar") && !path.contains(File.pathSeparator)
                ? List.of("-jar", path)
                : List.of("-cp", path, "gingerspool.Main");
    }
}
