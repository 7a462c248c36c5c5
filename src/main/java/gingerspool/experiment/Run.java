package gingerspool.experiment;

import gingerspool.judge.Judge;
import gingerspool.judge.Verdict;
import gingerspool.load.Load;
import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import gingerspool.standin.Fleet;
import gingerspool.wire.Address;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * One playing of a scenario: schedulers as processes, fleet and load beside them, then the judge.
 */
final class Run {
    private static final double READY_WITHIN = 30_000;

    /** How long the list and the connections get before the load. */
    private static final long SETTLES = 300;

    private static final long LEAVES_WITHIN = 8;

    /** How soon the front notices that a scheduler says no, in ms. */
    private static final long FRONT_LOOKS = 300;

    /** What a side of a comparison is: a jar or class path, and an operator's file or null. */
    record Side(String name, List<String> classPath, Path file) {}

    private final Plan plan;
    private final Scenario s;
    private final Side side;
    private final Path folder;
    private final PrintStream out;
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /** Each scheduler's processes in the order of their starts; the last one is the newest. */
    private final List<List<Process>> processes = new ArrayList<>();

    /** Those that a fault ended, wherever they stood. */
    private final Set<Process> killed = ConcurrentHashMap.newKeySet();

    /** Null where nobody operates the schedulers. */
    private Operators operators;

    private Load load;
    private volatile boolean over;

    /** CPU time of all schedulers since the load began, in ms, as the system told it. */
    double cpu;

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
        try {
            for (int i = 0; i < s.schedulers.count; i++) {
                addresses.add(FreePorts.next());
                processes.add(new CopyOnWriteArrayList<>());
            }
            Fleet fleet = new Fleet(fleetLoop, plan, addresses, executions);
            on(fleetLoop, fleet::start);
            if (s.hasOperators()) {
                operators =
                        new Operators(
                                loadLoop::now,
                                killed::contains,
                                call -> loadLoop.submit(() -> load.note(call)));
            }
            for (int i = 0; i < s.schedulers.count; i++) {
                Files.writeString(
                        folder.resolve("n" + i + ".json"),
                        NodeFile.of(s, i, plan.seed, addresses.get(i), fleet.discovery(i)));
                startFirst(i);
            }
            for (int i = 0; i < s.schedulers.count; i++) {
                ready(i);
            }
            Thread.sleep(SETTLES);
            processes.forEach(all -> all.forEach(p -> cpu -= cpuOf(p)));
            load = new Load(loadLoop, plan, addresses, clients);
            CompletableFuture<Void> done = new CompletableFuture<>();
            fleetLoop.submit(fleet::play);
            loadLoop.submit(() -> load.play(() -> done.complete(null)));
            Thread faults = new Thread(() -> schedulersFaults(loadLoop), "faults");
            faults.setDaemon(true);
            faults.start();
            waitFor(done, loadLoop);
            over = true;
            on(loadLoop, load::close);
            stopAll();
            on(fleetLoop, fleet::close);
        } finally {
            processes.forEach(all -> all.forEach(Process::destroyForcibly));
            loadLoop.stop();
            fleetLoop.stop();
        }
        return Judge.judge(clients, executions);
    }

    Load load() {
        return load;
    }

    private interface Step {
        void go() throws IOException;
    }

    /** Does this on the loop and waits for it. */
    private static void on(SingleThreadEventLoop loop, Step step)
            throws IOException, InterruptedException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.submit(
                () -> {
                    try {
                        step.go();
                        done.complete(null);
                    } catch (IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        try {
            done.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
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

    // ---- Schedulers ----

    private Path scratch(int i) {
        return folder.resolve("n" + i + ".tmp");
    }

    private void startFirst(int i) throws IOException {
        if (operators == null) {
            start(i, null);
            return;
        }
        Files.createDirectories(scratch(i));
        InetSocketAddress at = FreePorts.next();
        operators.serves(i, at, start(i, at));
    }

    /** Operators call the process at this address; null where they don't. */
    private Process start(int i, InetSocketAddress operators) throws IOException {
        List<String> command = new ArrayList<>();
        if (s.schedulers.pinFrom >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(s.schedulers.pinFrom + i)));
        }
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xshare:auto",
                        "-Xms48m",
                        "-Xmx80m",
                        "-Xss512k",
                        "-XX:MaxDirectMemorySize=16m",
                        "-Djdk.nio.maxCachedBufferSize=65536"));
        command.addAll(side.classPath);
        command.add("serve");
        if (side.file != null) {
            command.add("--file");
            command.add(side.file.toAbsolutePath().toString());
        }
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().keySet().removeIf(k -> k.startsWith("GW_"));
        b.environment().put("GW_CONFIG", folder.resolve("n" + i + ".json").toString());
        if (operators != null) {
            b.environment().put("GW_MANAGEMENT", Address.text(operators));
            b.environment().put("TMPDIR", scratch(i).toAbsolutePath().toString());
        }
        b.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("n" + i + ".log").toFile()));
        b.redirectErrorStream(true);
        synchronized (processes) {
            // Guards against a process that nobody ends: those that stopAll() has not seen.
            if (over) {
                throw new IOException("the run is over");
            }
            Process started = b.start();
            processes.get(i).add(started);
            return started;
        }
    }

    private Process newest(int i) {
        List<Process> all = processes.get(i);
        return all.get(all.size() - 1);
    }

    private boolean ready(int i) throws IOException, InterruptedException {
        return untilOneServes(i, () -> newest(i), () -> addresses.get(i), "/healthz");
    }

    /**
     * Waits until the process of this scheduler says yes, whichever that is by then; tells whether
     * it has. One that another fault has ended is waited for no more.
     */
    private boolean untilOneServes(
            int i, Supplier<Process> process, Supplier<InetSocketAddress> at, String path)
            throws IOException, InterruptedException {
        while (true) {
            Process asked = process.get();
            try {
                until(i, asked, at.get(), path);
                return true;
            } catch (IOException e) {
                if (killed.contains(asked)) {
                    return false;
                }
                if (asked == process.get()) {
                    throw e;
                }
            }
        }
    }

    private void until(int i, Process process, InetSocketAddress at, String path)
            throws IOException, InterruptedException {
        long from = System.nanoTime();
        while (!HttpCalls.isYes(at, "GET", path)) {
            if (!process.isAlive()) {
                throw new IOException(
                        "scheduler "
                                + i
                                + " ended at once, see "
                                + folder.resolve("n" + i + ".log"));
            }
            if ((System.nanoTime() - from) / 1e6 > READY_WITHIN) {
                throw new IOException("scheduler " + i + " is not ready within 30 s");
            }
            Thread.sleep(20);
        }
    }

    /** Kills and terminates schedulers when that is due, and starts them anew. */
    private void schedulersFaults(SingleThreadEventLoop loop) {
        long from = System.nanoTime();
        List<Plan.Blow> all = new ArrayList<>(plan.blows);
        all.removeIf(
                b ->
                        !b.fault().what.startsWith("scheduler-")
                                && !b.fault().what.equals("heir-killed")
                                && !b.fault().what.equals("suspend"));
        all.sort((a, b) -> Double.compare(a.fault().at, b.fault().at));
        List<Thread> threads = new ArrayList<>();
        for (Plan.Blow b : all) {
            Thread t =
                    new Thread(
                            () -> {
                                try {
                                    befall(loop, b, from);
                                } catch (IOException | InterruptedException e) {
                                    if (!over) {
                                        out.println(
                                                "  a fault on scheduler "
                                                        + b.fault().scheduler
                                                        + " went wrong: "
                                                        + e.getMessage());
                                    }
                                }
                            },
                            "fault");
            t.setDaemon(true);
            t.start();
            threads.add(t);
        }
    }

    private void befall(SingleThreadEventLoop loop, Plan.Blow b, long from)
            throws IOException, InterruptedException {
        Scenario.Fault f = b.fault();
        Thread.sleep(Math.max(0, (long) f.at - (System.nanoTime() - from) / 1_000_000));
        if (over) {
            return;
        }
        switch (f.what) {
            case "scheduler-replaced" -> replace(loop, f.scheduler);
            case "heir-killed" -> killHeir(loop, f);
            case "scheduler-drained" -> drain(loop, f);
            case "scheduler-hangup" -> hangUp(f.scheduler);
            case "suspend" -> suspend(loop, b);
            default -> end(loop, f);
        }
    }

    /** Another process beside those of the scheduler takes the clients. */
    private void replace(SingleThreadEventLoop loop, int i)
            throws IOException, InterruptedException {
        succeed(loop, i, "replaced");
    }

    /**
     * Starts another process; once it has the clients, this is noted, and all before it are to
     * leave. One that a later process has overtaken is not waited for.
     */
    private void succeed(SingleThreadEventLoop loop, int i, String note)
            throws IOException, InterruptedException {
        InetSocketAddress own = FreePorts.next();
        Process successor;
        List<Process> before;
        synchronized (processes) {
            before = List.copyOf(processes.get(i));
            successor = start(i, own);
        }
        try {
            until(i, successor, own, "/v1/readyz");
        } catch (IOException e) {
            if (newest(i) == successor && !killed.contains(successor)) {
                throw e;
            }
            return;
        }
        operators.serves(i, own, successor);
        noted(loop, i, note);
        before.forEach(Process::destroy);
        if (!allEnded(before)) {
            noted(loop, i, "killed");
            for (Process old : before) {
                old.destroyForcibly().waitFor();
            }
            noted(loop, i, "up");
        }
    }

    /** Whether all of them have ended in the time that they have for it together. */
    private static boolean allEnded(List<Process> all) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LEAVES_WITHIN);
        boolean ended = true;
        for (Process p : all) {
            ended &= p.waitFor(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
        return ended;
    }

    /** The second process is killed this long after its start, wherever it stands then. */
    private void killHeir(SingleThreadEventLoop loop, Scenario.Fault f)
            throws IOException, InterruptedException {
        Process heir = start(f.scheduler, FreePorts.next());
        Thread.sleep((long) f.length);
        noted(loop, f.scheduler, "heir-killed");
        heir.destroyForcibly().waitFor();
        processes.get(f.scheduler).remove(heir);
        untilOneServes(
                f.scheduler,
                () -> operators.process(f.scheduler),
                () -> operators.address(f.scheduler),
                "/v1/readyz");
    }

    /**
     * Has the process that operators know of read its configuration again. One that has just been
     * started may not take the signal yet, whose default ends it.
     */
    private void hangUp(int i) throws IOException, InterruptedException {
        Process serving = operators == null ? newest(i) : operators.process(i);
        String pid = Long.toString(serving.pid());
        new ProcessBuilder("kill", "-HUP", pid).inheritIO().start().waitFor();
    }

    private void drain(SingleThreadEventLoop loop, Scenario.Fault f)
            throws IOException, InterruptedException {
        operators.call(f.scheduler, "/v1/scheduler/drain");
        Thread.sleep(FRONT_LOOKS);
        noted(loop, f.scheduler, "drained");
        Thread.sleep((long) f.length);
        operators.call(f.scheduler, "/v1/scheduler/activate");
        if (ready(f.scheduler)) {
            noted(loop, f.scheduler, "up");
        }
    }

    private void suspend(SingleThreadEventLoop loop, Plan.Blow b)
            throws IOException, InterruptedException {
        for (boolean on : new boolean[] {true, false}) {
            for (int w : b.workers()) {
                for (int i = 0; i < s.schedulers.count; i++) {
                    String path = "/v1/workers/" + Plan.name(w) + (on ? "/suspend" : "/resume");
                    if (!on) {
                        noted(loop, i, "resumed " + Plan.name(w));
                    }
                    if (operators.call(i, path) && on) {
                        noted(loop, i, "suspended " + Plan.name(w));
                    }
                }
            }
            Thread.sleep(on ? (long) b.fault().length : 0);
        }
    }

    private void end(SingleThreadEventLoop loop, Scenario.Fault f)
            throws IOException, InterruptedException {
        Process p = newest(f.scheduler);
        boolean kill = f.what.equals("scheduler-killed");
        killed.add(p);
        noted(loop, f.scheduler, kill ? "killed" : "terminated");
        cpu += cpuOf(p);
        if (kill) {
            p.destroyForcibly().waitFor();
            Thread.sleep((long) f.length);
        } else {
            p.destroy();
            if (!p.waitFor(LEAVES_WITHIN, TimeUnit.SECONDS)) {
                p.destroyForcibly().waitFor();
            }
        }
        if (over) {
            return;
        }
        if (operators == null) {
            start(f.scheduler, null);
            ready(f.scheduler);
            noted(loop, f.scheduler, "up");
        } else {
            // Beside it another process may live: it was killed while it replaced that one.
            succeed(loop, f.scheduler, "up");
        }
    }

    private void noted(SingleThreadEventLoop loop, int scheduler, String what)
            throws IOException, InterruptedException {
        on(loop, () -> load.note(scheduler, what));
    }

    private static double cpuOf(Process p) {
        return p.toHandle().info().totalCpuDuration().map(d -> d.toNanos() / 1e6).orElse(0.0);
    }

    /** Ends every process that was started, the latest of a scheduler last. */
    private void stopAll() throws InterruptedException {
        List<Process> all;
        synchronized (processes) {
            all = processes.stream().flatMap(List::stream).toList();
        }
        for (Process p : all) {
            cpu += cpuOf(p);
            p.destroy();
        }
        if (!allEnded(all)) {
            for (Process p : all) {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** The arguments that start this very program again. */
    static List<String> ownClassPath() {
        String path = System.getProperty("java.class.path");
        return path.endsWith(".jar") && !path.contains(File.pathSeparator)
                ? List.of("-jar", path)
                : List.of("-cp", path, "gingerspool.Main");
    }
}
