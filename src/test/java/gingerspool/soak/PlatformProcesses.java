package gingerspool.soak;

import gingerspool.peers.Folders;
import gingerspool.standin.Cloud;
import gingerspool.wire.Address;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Starts the control nodes and schedulers of a platform for {@link PlatformSoakTest}, each as a
 * separate process on loopback. The cloud and its instances are simulated in this process.
 */
final class PlatformProcesses implements AutoCloseable {
    private static final int CONTROL_PORT = 18248;
    private static final int FRONT_PORT = 18241;
    private static final int READINESS_PORT = 18246;
    private static final int INTERNAL_PORT = 17400;

    /** The time that a simulated instance takes per request. */
    private static final int WORK_MS = 60;

    /** The delay of the simulated cloud's lists; the processes are configured with it as well. */
    private static final int LAG_MS = 100;

    private static final long RETRY_INTERVAL_MS = 20;
    private static final int CONNECT_TIMEOUT_MS = 1000;

    /**
     * How long after SIGTERM a process still gets new connections: until two readiness checks, a
     * second apart, have failed.
     */
    private static final long READINESS_LAG_NANOS = 2_000_000_000L;

    /** Second octet of all addresses, derived from the pid so that concurrent runs differ. */
    private static final int NETWORK_OCTET = 20 + (int) (ProcessHandle.current().pid() % 200);

    /** The program that a process runs. */
    enum Role {
        CONTROL("control", 5),
        SCHEDULER("scheduler", 6);

        final String command;
        final int subnet;

        Role(String command, int subnet) {
            this.command = command;
            this.subnet = subnet;
        }
    }

    /** One machine: its settings file and data directory persist when its process restarts. */
    final class Node {
        final Role role;
        final int number;
        private final Path settingsFile;
        private volatile Process process;

        /** System.nanoTime() of the SIGTERM that its process got; null if it got none. */
        private volatile Long terminatedNanos;

        Node(Role role, int number) throws IOException {
            this.role = role;
            this.number = number;
            settingsFile = folder.resolve(name() + ".toml");
            writeSettings(true);
        }

        @Override
        public String toString() {
            return name();
        }

        String name() {
            return role.command + "-" + number;
        }

        String ip() {
            return "127." + NETWORK_OCTET + "." + role.subnet + "." + number;
        }

        InetSocketAddress controlAddress() {
            return new InetSocketAddress(ip(), CONTROL_PORT);
        }

        InetSocketAddress frontAddress() {
            return new InetSocketAddress(ip(), FRONT_PORT);
        }

        private void writeSettings(boolean isFirstStart) throws IOException {
            String seeds =
                    IntStream.rangeClosed(1, controlNodeCount)
                            .mapToObj(
                                    i ->
                                            "\"127.%d.%d.%d:%d\""
                                                    .formatted(
                                                            NETWORK_OCTET,
                                                            Role.CONTROL.subnet,
                                                            i,
                                                            CONTROL_PORT))
                            .collect(Collectors.joining(","));
            Files.writeString(
                    settingsFile,
                    """
                    NodeName = "%s"
                    IpAddress = "%s"
                    Zone = "a"
                    InternalPortRange = [%d,%d]
                    SeedNodes = [%s]
                    FirstStart = %b
                    DataDirectory = "%s"
                    HeartbeatIntervalMs = 600
                    [Zones]
                    a = "r"
                    b = "r"
                    [ListenAddresses]
                    FrontAddress = "%s:%d"
                    ReadinessAddress = "%s:%d"
                    ControlAddress = "%s:%d"
                    [Limits]
                    DiskMb = 64
                    [ToleratedLosses]
                    Machines = 1
                    [Cloud]
                    Address = "%s"
                    RatePerS = 50.0
                    LagMs = %d
                    DutyPerS = 50.0
                    """
                            .formatted(
                                    name(),
                                    ip(),
                                    INTERNAL_PORT,
                                    INTERNAL_PORT + 15,
                                    seeds,
                                    isFirstStart,
                                    folder.resolve(name()),
                                    ip(),
                                    FRONT_PORT,
                                    ip(),
                                    READINESS_PORT,
                                    ip(),
                                    CONTROL_PORT,
                                    Address.text(cloud.address()),
                                    LAG_MS));
        }

        synchronized void start() throws IOException {
            if (process != null) {
                writeSettings(false);
            }
            ProcessBuilder builder =
                    new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xms48m",
                            "-Xmx160m",
                            "-Xss512k",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "gingerspool.Main",
                            role.command);
            builder.environment().keySet().removeIf(key -> key.startsWith("GW_"));
            builder.environment().put("GINGERSPOOL_CONFIG", settingsFile.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
            process = builder.start();
            terminatedNanos = null;
            startedProcesses.add(process);
        }

        /** Sends SIGTERM. */
        void terminate() throws IOException, InterruptedException {
            terminatedNanos = System.nanoTime();
            signal("TERM");
        }

        /** Whether the platform counts it as ready. */
        private boolean countsAsReady() {
            Long terminated = terminatedNanos;
            return terminated == null || System.nanoTime() - terminated < READINESS_LAG_NANOS;
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        }

        /** Waits until the control or front address accepts connections. */
        void awaitListening(long ms) throws IOException, InterruptedException {
            InetSocketAddress address = role == Role.CONTROL ? controlAddress() : frontAddress();
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            while (!isListening(address)) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new IOException(name() + " is not listening after " + ms + " ms");
                }
                Thread.sleep(RETRY_INTERVAL_MS);
            }
        }

        private static boolean isListening(InetSocketAddress address) {
            try (Socket socket = new Socket()) {
                socket.connect(address, CONNECT_TIMEOUT_MS);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** Deletes the data directory; the process must have exited. */
        void deleteDisk() throws IOException {
            Folders.remove(folder.resolve(name()));
        }

        boolean awaitExit(long ms) throws InterruptedException {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** The errors that its processes have logged, in all their lives. */
        List<String> loggedErrors() throws IOException {
            try (Stream<String> lines = Files.lines(logFile())) {
                return lines.filter(line -> line.contains(" ERROR ")).toList();
            }
        }

        private Path logFile() {
            return folder.resolve(name() + ".log");
        }

        /** The exit code of the process, which must have exited. */
        int exitCode() {
            return process.exitValue();
        }

        long pid() {
            return process.pid();
        }
    }

    private final Path folder;
    private final int controlNodeCount;
    private final SingleThreadEventLoop loop = new SingleThreadEventLoop();
    private final Cloud cloud;
    private final List<Process> startedProcesses = new CopyOnWriteArrayList<>();

    /** The ids of the requests that have arrived at an instance. */
    private final Set<String> arrivedIds = ConcurrentHashMap.newKeySet();

    final List<Node> controlNodes = new ArrayList<>();
    final List<Node> schedulers = new ArrayList<>();

    /** Starts all processes; logs, settings and data directories are stored in the folder. */
    PlatformProcesses(Path folder, int controls, int schedulers) throws IOException {
        this.folder = folder;
        this.controlNodeCount = controls;
        cloud =
                new Cloud(
                        loop,
                        "127." + NETWORK_OCTET + ".7.1",
                        Map.of("h1", "a", "h2", "b"),
                        SoakConfiguration.BOOT_MS,
                        WORK_MS,
                        LAG_MS,
                        SoakConfiguration.INSTANCE_SLOTS);
        loop.submit(() -> cloud.onArrival = arrivedIds::add);
        for (int i = 1; i <= controls; i++) {
            controlNodes.add(new Node(Role.CONTROL, i));
        }
        for (int i = 1; i <= schedulers; i++) {
            this.schedulers.add(new Node(Role.SCHEDULER, i));
        }
        for (Node node : allNodes()) {
            node.start();
        }
    }

    List<Node> allNodes() {
        List<Node> all = new ArrayList<>(controlNodes);
        all.addAll(schedulers);
        return all;
    }

    /**
     * The schedulers that new clients are sent to: those that count as ready, or all if these are
     * fewer than half.
     */
    List<Node> schedulersForNewClients() {
        List<Node> ready = schedulers.stream().filter(Node::countsAsReady).toList();
        return 2 * ready.size() < schedulers.size() ? schedulers : ready;
    }

    /** Whether the request with this id has arrived at an instance. */
    boolean hasArrived(String id) {
        return arrivedIds.contains(id);
    }

    /** The pids of all processes started so far that are still running. */
    List<Long> livePids() {
        return startedProcesses.stream().filter(Process::isAlive).map(Process::pid).toList();
    }

    @Override
    public void close() {
        startedProcesses.forEach(Process::destroyForcibly);
        loop.submit(
                () -> {
                    cloud.close();
                    loop.stop();
                });
    }
}
