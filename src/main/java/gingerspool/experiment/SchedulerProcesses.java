package gingerspool.experiment;

import gingerspool.scenario.Scenario;
import gingerspool.wire.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * The processes of the schedulers under test: starts them, waits until they serve, and ends every
 * one that was started.
 *
 * <p>Thread: any.
 */
final class SchedulerProcesses {
    private static final double READY_WITHIN_MS = 30_000;
    private static final long LEAVES_WITHIN_S = 8;
    private static final long ASKS_EVERY_MS = 20;

    private final Scenario scenario;
    private final Run.Side side;
    private final Path folder;
    private final FreePorts ports = new FreePorts();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /** Each scheduler's processes in the order of their starts; the last one is the newest. */
    private final List<List<Process>> processes = new ArrayList<>();

    /** Those that a fault ended, wherever they stood. */
    private final Set<Process> killed = ConcurrentHashMap.newKeySet();

    private final ProcessPauses pauses;

    /** Null where nobody operates the schedulers. */
    private Operators operators;

    private volatile boolean isOver;

    /** CPU time of all schedulers since markCpu(), in ms, as the system told it. */
    private double cpuMs;

    /** Pauses are written down in the time of this clock. */
    SchedulerProcesses(Scenario scenario, Run.Side side, Path folder, DoubleSupplier now) {
        this.scenario = scenario;
        this.side = side;
        this.folder = folder;
        pauses = new ProcessPauses(now);
    }

    /** Finds an address for each scheduler. */
    void chooseAddresses() throws IOException {
        for (int i = 0; i < scenario.schedulers.count; i++) {
            addresses.add(ports.next());
            processes.add(new CopyOnWriteArrayList<>());
        }
    }

    /** An address for operators' calls to another process; nobody else has it during the play. */
    InetSocketAddress nextAddress() throws IOException {
        return ports.next();
    }

    /** Where each scheduler takes its clients. */
    List<InetSocketAddress> addresses() {
        return addresses;
    }

    /** From now on each process that is started has an address for operators. */
    void operatedBy(Operators operators) {
        this.operators = operators;
    }

    /** Null where nobody operates the schedulers. */
    Operators operators() {
        return operators;
    }

    ProcessPauses pauses() {
        return pauses;
    }

    boolean isOver() {
        return isOver;
    }

    // ---- Starts ----

    private Path scratch(int i) {
        return folder.resolve("n" + i + ".tmp");
    }

    /** Starts a scheduler that finds its list at this address of the discovery. */
    void startFirst(int i, long seed, InetSocketAddress discovery) throws IOException {
        Files.writeString(nodeFile(i), NodeFile.of(scenario, i, seed, addresses.get(i), discovery));
        if (operators == null) {
            start(i, null);
            return;
        }
        Files.createDirectories(scratch(i));
        InetSocketAddress at = ports.next();
        operators.serves(i, at, start(i, at));
    }

    /** Operators call the process at this address; null where they don't. */
    Process start(int i, InetSocketAddress at) throws IOException {
        ProcessBuilder b = new ProcessBuilder(SchedulerCommand.of(side, scenario.schedulers, i));
        b.directory(SchedulerCommand.directory(side));
        b.environment().keySet().removeIf(k -> k.startsWith("GW_"));
        b.environment().put("GW_CONFIG", nodeFile(i).toAbsolutePath().toString());
        if (at != null) {
            b.environment().put("GW_MANAGEMENT", Address.text(at));
            b.environment().put("TMPDIR", scratch(i).toAbsolutePath().toString());
        }
        b.redirectOutput(ProcessBuilder.Redirect.appendTo(log(i).toFile()));
        b.redirectErrorStream(true);
        synchronized (processes) {
            // Guards against a process that nobody ends: those that stopAll() has not seen.
            if (isOver) {
                throw new IOException("the run is over");
            }
            Process started = b.start();
            processes.get(i).add(started);
            return started;
        }
    }

    private Path nodeFile(int i) {
        return folder.resolve("n" + i + ".json");
    }

    private Path log(int i) {
        return folder.resolve("n" + i + ".log");
    }

    // ---- Which ----

    /** The process of this scheduler that was started last. */
    Process newest(int i) {
        List<Process> all = processes.get(i);
        return all.get(all.size() - 1);
    }

    /** The process of this scheduler that said last that it serves. */
    Process serving(int i) {
        return operators == null ? newest(i) : operators.process(i);
    }

    /** The latest process of this scheduler that was started before the one that serves. */
    Process before(int i) {
        List<Process> all = processes.get(i);
        return all.get(Math.max(0, all.indexOf(serving(i)) - 1));
    }

    /** All processes of this scheduler. */
    List<Process> all(int i) {
        return List.copyOf(processes.get(i));
    }

    /** Its other processes that live, or that are not among those known before. */
    List<Process> beside(int i, Process process, List<Process> before) {
        return all(i).stream()
                .filter(p -> p != process && (p.isAlive() || !before.contains(p)))
                .toList();
    }

    /** Starts another process of this scheduler; the list that is filled gets those before it. */
    Process startBeside(int i, InetSocketAddress at, List<Process> before) throws IOException {
        synchronized (processes) {
            before.addAll(processes.get(i));
            return start(i, at);
        }
    }

    /** It has ended, and is no process of its scheduler any more. */
    void forget(int i, Process process) {
        processes.get(i).remove(process);
    }

    /** A fault ends this process: it owes nothing from now on. */
    void ends(Process process) {
        killed.add(process);
    }

    /** Whether a fault has ended it. */
    boolean isKilled(Process process) {
        return killed.contains(process);
    }

    // ---- Waits ----

    /** Waits until the scheduler says that it lives; false where a fault ended it meanwhile. */
    boolean ready(int i) throws IOException, InterruptedException {
        return untilOneServes(i, () -> newest(i), () -> addresses.get(i), "/healthz");
    }

    /** Waits until the process that operators know says that it serves. */
    void untilOneServes(int i) throws IOException, InterruptedException {
        untilOneServes(i, () -> operators.process(i), () -> operators.address(i), "/v1/readyz");
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

    /** Waits until this process, asked at this address, says yes. */
    void until(int i, Process process, InetSocketAddress at, String path)
            throws IOException, InterruptedException {
        long from = System.nanoTime();
        while (!HttpCalls.isYes(at, "GET", path)) {
            if (!process.isAlive()) {
                throw new IOException("scheduler " + i + " ended at once, see " + log(i));
            }
            if ((System.nanoTime() - from) / 1e6 > READY_WITHIN_MS) {
                throw new IOException("scheduler " + i + " is not ready within 30 s");
            }
            Thread.sleep(ASKS_EVERY_MS);
        }
    }

    // ---- Ends ----

    /** Whether all of them have ended in the time that they have for it together. */
    static boolean allEnded(List<Process> all) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LEAVES_WITHIN_S);
        boolean ended = true;
        for (Process p : all) {
            ended &= p.waitFor(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
        return ended;
    }

    /** None is paused any more, and none is started. */
    void endFaults() {
        isOver = true;
        pauses.end();
    }

    /** Ends every process that was started, the latest of a scheduler last. */
    void stopAll() throws InterruptedException {
        List<Process> all;
        synchronized (processes) {
            endFaults();
            all = processes.stream().flatMap(List::stream).toList();
        }
        for (Process p : all) {
            addCpu(p);
            p.destroy();
        }
        if (!allEnded(all)) {
            for (Process p : all) {
                p.destroyForcibly().waitFor();
            }
        }
    }

    /** Kills whatever is left, also after a play that went wrong. */
    void killAll() {
        synchronized (processes) {
            endFaults();
            processes.forEach(all -> all.forEach(Process::destroyForcibly));
        }
    }

    /** Others may have their ports from now on. */
    void releasePorts() throws IOException {
        ports.close();
    }

    // ---- CPU ----

    /** What the schedulers have used until now does not count. */
    synchronized void markCpu() {
        processes.forEach(all -> all.forEach(p -> cpuMs -= cpuOf(p)));
    }

    /** Counts what this process has used. */
    synchronized void addCpu(Process process) {
        cpuMs += cpuOf(process);
    }

    synchronized double cpuMs() {
        return cpuMs;
    }

    private static double cpuOf(Process p) {
        return p.toHandle().info().totalCpuDuration().map(d -> d.toNanos() / 1e6).orElse(0.0);
    }
}
