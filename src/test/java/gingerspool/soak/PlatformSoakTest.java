package gingerspool.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the platform's two programs as processes and injects overlapping faults: control nodes and
 * schedulers are terminated, killed, suspended, reloaded and restarted, and in about half of the
 * runs one control node loses its disk. Meanwhile clients send requests over persistent connections
 * and an operator sends one configuration change after the other.
 *
 * <p>One seed runs by default. To run more of them: {@code mvn test -Dtest=PlatformSoakTest
 * -Dsoak.from=1 -Dsoak.seeds=50 -Dsoak.out=FOLDER}. One seed takes about 25 s.
 *
 * <p>The bounds were set before the first run, from RULES and the settings:
 *
 * <ul>
 *   <li>A request sent on a new connection gets a complete response, unless its scheduler was
 *       killed or suspended between ContactMs (4 s) before it was sent and its end.
 *   <li>A response names its own request.
 *   <li>No change that is based on the newest version is rejected.
 *   <li>A change is acknowledged within ContactMs + AcknowledgeMs (9 s) after the last fault.
 *   <li>Acknowledged changes are read back.
 *   <li>A process exits within GracePeriodS + 1 s (7 s) after SIGTERM, and no process remains.
 * </ul>
 */
public class PlatformSoakTest {
    private static final int CONTROL_NODE_COUNT = 3;
    private static final int SCHEDULER_COUNT = 2;
    private static final int CLIENT_COUNT = 6;
    private static final int MIN_FAULTS = 5;
    private static final int FAULT_COUNT_RANGE = 5;
    private static final long FAULT_PERIOD_MS = 10_000;
    private static final long CONTACT_TIMEOUT_MS = 4000;
    private static final long ACKNOWLEDGE_TIMEOUT_MS = CONTACT_TIMEOUT_MS + 5000;
    private static final long EXIT_TIMEOUT_MS = 7000;
    private static final long START_TIMEOUT_MS = 30_000;

    /** The faults that are injected into a process. */
    private enum Fault {
        TERMINATED,
        KILLED,
        STOPPED,
        RELOADED,
        /** The process is killed and restarted without its data directory. */
        DISK_LOST
    }

    /** Faults that may be injected into any process, and repeatedly. */
    private static final List<Fault> REPEATABLE_FAULTS =
            List.of(Fault.TERMINATED, Fault.KILLED, Fault.STOPPED, Fault.RELOADED);

    /** A fault that was injected or ended at this System.nanoTime(). */
    private record InjectedFault(PlatformProcesses.Node node, Fault fault, long atNanos) {}

    private final List<InjectedFault> injectedFaults = new CopyOnWriteArrayList<>();
    private final List<String> violations = new CopyOnWriteArrayList<>();

    @DataProvider
    public Object[][] seeds() {
        long from = Long.getLong("soak.from", 1);
        int count = Integer.getInteger("soak.seeds", 1);
        Object[][] seeds = new Object[count][];
        for (int i = 0; i < count; i++) {
            seeds[i] = new Object[] {from + i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void noAcknowledgedChangeIsLostAndNoProcessRemains(long seed) throws Exception {
        injectedFaults.clear();
        violations.clear();
        String outputFolder = System.getProperty("soak.out");
        Path folder =
                outputFolder == null
                        ? Files.createTempDirectory("platform-soak")
                        : Files.createDirectories(Path.of(outputFolder, "platform-" + seed));
        try (PlatformProcesses platform =
                new PlatformProcesses(folder, CONTROL_NODE_COUNT, SCHEDULER_COUNT)) {
            runScenario(platform, seed);
            Files.writeString(folder.resolve("said.txt"), String.join("\n", violations));
            assertEquals(violations, List.of(), "seed " + seed + " " + injectedFaults);
        }
        Folders.remove(folder);
    }

    private void runScenario(PlatformProcesses platform, long seed) throws Exception {
        PlatformOperator operator = new PlatformOperator(platform.controlNodes, seed);
        long startDeadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        assertTrue(
                operator.applyNextChange(startDeadlineNanos),
                "the first configuration was not acknowledged within 30 s");
        List<PlatformClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clients.add(new PlatformClient(platform.schedulers, i, seed));
        }
        clients.forEach(Thread::start);
        operator.start();
        injectFaults(platform, new SplittableRandom(seed));
        operator.stopAndJoin();
        for (PlatformClient client : clients) {
            client.stopAndJoin();
        }
        checkConfigurationChanges(platform, operator);
        checkRequests(clients);
        terminateAll(platform);
    }

    // ---- Fault injection ----

    /** Injects faults at random times, each on its own thread so that they can overlap. */
    private void injectFaults(PlatformProcesses platform, SplittableRandom random)
            throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        int faultCount = MIN_FAULTS + random.nextInt(FAULT_COUNT_RANGE);
        for (int i = 0; i < faultCount; i++) {
            Fault fault = REPEATABLE_FAULTS.get(random.nextInt(REPEATABLE_FAULTS.size()));
            List<PlatformProcesses.Node> all = platform.allNodes();
            PlatformProcesses.Node node = all.get(random.nextInt(all.size()));
            long delayMs = random.nextLong(FAULT_PERIOD_MS);
            long durationMs = 200 + random.nextLong(1300);
            threads.add(new Thread(() -> injectFault(node, fault, delayMs, durationMs), "fault"));
        }
        // ToleratedLosses allows the permanent loss of one control machine.
        if (random.nextBoolean()) {
            PlatformProcesses.Node node =
                    platform.controlNodes.get(random.nextInt(platform.controlNodes.size()));
            long delayMs = random.nextLong(FAULT_PERIOD_MS);
            long durationMs = 200 + random.nextLong(1300);
            threads.add(
                    new Thread(
                            () -> injectFault(node, Fault.DISK_LOST, delayMs, durationMs),
                            "disk-lost"));
        }
        threads.forEach(Thread::start);
        Thread.sleep(FAULT_PERIOD_MS);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void injectFault(
            PlatformProcesses.Node node, Fault fault, long delayMs, long durationMs) {
        try {
            Thread.sleep(delayMs);
            // Faults of the same process are serialized; those of different processes overlap.
            synchronized (node) {
                injectedFaults.add(new InjectedFault(node, fault, System.nanoTime()));
                applyFault(node, fault, durationMs);
            }
        } catch (IOException | InterruptedException e) {
            violations.add(fault + " of " + node.name() + " could not be injected: " + e);
        }
    }

    private void applyFault(PlatformProcesses.Node node, Fault fault, long durationMs)
            throws IOException, InterruptedException {
        switch (fault) {
            case RELOADED -> {
                // SIGHUP would end a JVM that has just started and has no handler for it yet.
                node.awaitListening(START_TIMEOUT_MS);
                node.signal("HUP");
            }
            case STOPPED -> {
                node.signal("STOP");
                Thread.sleep(durationMs);
                node.signal("CONT");
                injectedFaults.add(new InjectedFault(node, fault, System.nanoTime()));
            }
            case KILLED, DISK_LOST -> {
                node.signal("KILL");
                node.awaitExit(EXIT_TIMEOUT_MS);
                if (fault == Fault.DISK_LOST) {
                    node.deleteDisk();
                }
                Thread.sleep(durationMs);
                node.start();
                injectedFaults.add(new InjectedFault(node, fault, System.nanoTime()));
            }
            default -> {
                node.signal("TERM");
                if (!node.awaitExit(EXIT_TIMEOUT_MS)) {
                    violations.add(node.name() + " did not exit within 7 s after SIGTERM");
                    node.signal("KILL");
                    node.awaitExit(EXIT_TIMEOUT_MS);
                }
                node.start();
            }
        }
    }

    // ---- Checks ----

    private void checkConfigurationChanges(PlatformProcesses platform, PlatformOperator operator)
            throws InterruptedException {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACKNOWLEDGE_TIMEOUT_MS);
        if (!operator.applyNextChange(deadlineNanos)) {
            violations.add("no change was acknowledged within 9 s after the last fault");
        }
        operator.rejectedChanges.forEach(order -> violations.add("rejected: " + order));
        String expectedTimeout =
                "\"TimeoutMs\":" + PlatformOperator.routeTimeoutMs(operator.acknowledgedVersion());
        for (PlatformProcesses.Node node : platform.controlNodes) {
            String configuration = PlatformOperator.readConfiguration(node);
            while (!configuration.replace(" ", "").contains(expectedTimeout)
                    && System.nanoTime() < deadlineNanos) {
                Thread.sleep(100);
                configuration = PlatformOperator.readConfiguration(node);
            }
            if (!configuration.replace(" ", "").contains(expectedTimeout)) {
                violations.add(
                        node.name()
                                + " does not return "
                                + expectedTimeout
                                + " but "
                                + configuration);
            }
        }
    }

    private void checkRequests(List<PlatformClient> clients) {
        int served = 0;
        for (PlatformClient client : clients) {
            for (PlatformClient.Request request : client.requests) {
                served += request.status() == 200 ? 1 : 0;
                if (!request.mine()) {
                    violations.add("response to another request: " + request);
                }
                if (request.status() == 0 && !request.reused() && !isLossAllowed(request)) {
                    violations.add("no response on a new connection: " + request);
                }
            }
        }
        if (served == 0) {
            violations.add("no request was served");
        }
    }

    /**
     * Whether the request's scheduler was killed or suspended between ContactMs before the request
     * was sent and its end.
     */
    private boolean isLossAllowed(PlatformClient.Request request) {
        long windowStartNanos = request.sent() - TimeUnit.MILLISECONDS.toNanos(CONTACT_TIMEOUT_MS);
        for (InjectedFault blow : injectedFaults) {
            boolean unplanned = blow.fault() == Fault.KILLED || blow.fault() == Fault.STOPPED;
            if (blow.node() == request.scheduler()
                    && unplanned
                    && blow.atNanos() >= windowStartNanos
                    && blow.atNanos() <= request.ended()) {
                return true;
            }
        }
        return false;
    }

    /** Terminates all processes at once, control nodes included. */
    private void terminateAll(PlatformProcesses platform) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EXIT_TIMEOUT_MS);
        for (PlatformProcesses.Node node : platform.allNodes()) {
            node.signal("TERM");
        }
        for (PlatformProcesses.Node node : platform.allNodes()) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (!node.awaitExit(Math.max(1, remainingMs))) {
                violations.add(node.name() + " is still running 7 s after SIGTERM");
            }
        }
        if (!platform.livePids().isEmpty()) {
            violations.add("processes are still running: " + platform.livePids());
        }
    }
}
