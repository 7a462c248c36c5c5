package gingerspool.experiment;

import gingerspool.daemon.Loop;
import gingerspool.judge.Judge;
import gingerspool.judge.Verdict;
import gingerspool.load.Load;
import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import gingerspool.standin.Fleet;
import gingerspool.wire.Address;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One playing of a scenario: schedulers as processes, fleet and load beside them, then the judge. */
final class Run {
    private static final double READY_WITHIN = 30_000;
    /** How long the list and the connections get before the load. */
    private static final long SETTLES = 300;
    private static final long LEAVES_WITHIN = 8;
    private static final int PORTS = 20_000;
    private static final int PORTS_MOST = 12_000;
    /** For ports only; what is played comes from the plan. */
    private static final SplittableRandom CHANCE = new SplittableRandom();

    /** What a side of a comparison is: a jar or class path, and an operator's file or null. */
    record Side(String name, List<String> classPath, Path file) { }

    private final Plan plan;
    private final Scenario s;
    private final Side side;
    private final Path folder;
    private final PrintStream out;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
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
        Loop fleetLoop = new Loop();
        Loop loadLoop = new Loop();
        Path clients = folder.resolve("clients.tsv");
        Path executions = folder.resolve("executions.tsv");
        try {
            for (int i = 0; i < s.schedulers.count; i++) {
                addresses.add(freePort());
                processes.add(null);
            }
            Fleet fleet = new Fleet(fleetLoop, plan, addresses, executions);
            on(fleetLoop, fleet::start);
            for (int i = 0; i < s.schedulers.count; i++) {
                Files.writeString(folder.resolve("n" + i + ".json"),
                    NodeFile.of(s, i, plan.seed, addresses.get(i), fleet.discovery(i)));
                start(i);
            }
            for (int i = 0; i < s.schedulers.count; i++) {
                ready(i);
            }
            Thread.sleep(SETTLES);
            processes.forEach(p -> cpu -= cpuOf(p));
            load = new Load(loadLoop, plan, addresses, clients);
            CompletableFuture<Void> done = new CompletableFuture<>();
            fleetLoop.enter(fleet::play);
            loadLoop.enter(() -> load.play(() -> done.complete(null)));
            Thread faults = new Thread(() -> schedulersFaults(loadLoop), "faults");
            faults.setDaemon(true);
            faults.start();
            waitFor(done, loadLoop);
            over = true;
            on(loadLoop, load::close);
            stopAll();
            on(fleetLoop, fleet::close);
        } finally {
            processes.forEach(p -> {
                if (p != null) {
                    p.destroyForcibly();
                }
            });
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
    private static void on(Loop loop, Step step) throws IOException, InterruptedException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.enter(() -> {
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

    private void waitFor(CompletableFuture<Void> done, Loop loop) throws InterruptedException, IOException {
        double most = s.length + 3 * s.longestExpiry() + 30_000;
        for (double waited = 0; !done.isDone(); waited += 1000) {
            try {
                done.get(1, TimeUnit.SECONDS);
            } catch (TimeoutException e) {
                loop.enter(() -> out.println("  " + load.progress()));
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

    /** A port that is free, below those that the system hands out, so that nobody takes it meanwhile. */
    private static InetSocketAddress freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = PORTS + CHANCE.nextInt(PORTS_MOST);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress(InetAddress.getLoopbackAddress(), probe.getLocalPort());
            } catch (IOException e) {
                // Taken: another is tried.
            }
        }
        throw new IOException("no port is free between " + PORTS + " and " + (PORTS + PORTS_MOST));
    }

    private void start(int i) throws IOException {
        List<String> command = new ArrayList<>();
        if (s.schedulers.pinFrom >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(s.schedulers.pinFrom + i)));
        }
        command.addAll(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xms48m", "-Xmx80m", "-Xss512k",
            "-XX:MaxDirectMemorySize=16m", "-Djdk.nio.maxCachedBufferSize=65536"));
        command.addAll(side.classPath);
        command.add("serve");
        if (side.file != null) {
            command.add("--file");
            command.add(side.file.toAbsolutePath().toString());
        }
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().keySet().removeIf(k -> k.startsWith("GW_"));
        b.environment().put("GW_CONFIG", folder.resolve("n" + i + ".json").toString());
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("n" + i + ".log").toFile()));
        b.redirectErrorStream(true);
        processes.set(i, b.start());
    }

    private boolean answers(int i) {
        try {
            HttpURLConnection c = (HttpURLConnection) URI.create("http://" + Address.text(addresses.get(i))
                + "/healthz").toURL().openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(500);
            boolean is = c.getResponseCode() == 200;
            c.disconnect();
            return is;
        } catch (IOException e) {
            return false;
        }
    }

    private void ready(int i) throws IOException, InterruptedException {
        long from = System.nanoTime();
        while (!answers(i)) {
            if (!processes.get(i).isAlive()) {
                throw new IOException("scheduler " + i + " ended at once, see " + folder.resolve("n" + i
                    + ".log"));
            }
            if ((System.nanoTime() - from) / 1e6 > READY_WITHIN) {
                throw new IOException("scheduler " + i + " is not ready within 30 s");
            }
            Thread.sleep(20);
        }
    }

    /** Kills and terminates schedulers when that is due, and starts them anew. */
    private void schedulersFaults(Loop loop) {
        long from = System.nanoTime();
        List<Plan.Blow> all = new ArrayList<>(plan.blows);
        all.removeIf(b -> !b.fault().what.startsWith("scheduler-"));
        all.sort((a, b) -> Double.compare(a.fault().at, b.fault().at));
        List<Thread> threads = new ArrayList<>();
        for (Plan.Blow b : all) {
            Thread t = new Thread(() -> {
                try {
                    befall(loop, b.fault(), from);
                } catch (IOException | InterruptedException e) {
                    out.println("  a fault on scheduler " + b.fault().scheduler + " went wrong: "
                        + e.getMessage());
                }
            }, "fault");
            t.setDaemon(true);
            t.start();
            threads.add(t);
        }
    }

    private void befall(Loop loop, Scenario.Fault f, long from) throws IOException, InterruptedException {
        Thread.sleep(Math.max(0, (long) f.at - (System.nanoTime() - from) / 1_000_000));
        if (over) {
            return;
        }
        Process p = processes.get(f.scheduler);
        boolean kill = f.what.equals("scheduler-killed");
        noted(loop, f.scheduler, kill ? "killed" : "terminated");
        cpu += cpuOf(p);
        if (kill) {
            p.destroyForcibly().waitFor();
        } else {
            p.destroy();
            if (!p.waitFor(LEAVES_WITHIN, TimeUnit.SECONDS)) {
                p.destroyForcibly().waitFor();
            }
        }
        if (kill) {
            Thread.sleep((long) f.length);
        }
        if (!over) {
            start(f.scheduler);
            ready(f.scheduler);
            noted(loop, f.scheduler, "up");
        }
    }

    private void noted(Loop loop, int scheduler, String what) throws IOException, InterruptedException {
        on(loop, () -> load.note(scheduler, what));
    }

    private static double cpuOf(Process p) {
        return p.toHandle().info().totalCpuDuration().map(d -> d.toNanos() / 1e6).orElse(0.0);
    }

    private void stopAll() throws InterruptedException {
        for (Process p : processes) {
            cpu += cpuOf(p);
            p.destroy();
        }
        for (Process p : processes) {
            if (!p.waitFor(LEAVES_WITHIN, TimeUnit.SECONDS)) {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** The arguments that start this very program again. */
    static List<String> ownClassPath() {
        String path = System.getProperty("java.class.path");
        return path.endsWith(".jar") && !path.contains(File.pathSeparator) ? List.of("-jar", path)
            : List.of("-cp", path, "gingerspool.Main");
    }
}
