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
 * The platform's two programs as processes: control nodes and schedulers are terminated, killed,
 * stopped and started again in series that overlap, and in every other play one control node loses
 * its disk, while clients use their connections until they end and an operator sends one change
 * after the other.
 *
 * <p>One seed by itself; the long run by hand: {@code mvn test -Dtest=PlatformSoakTest
 * -Dsoak.from=1 -Dsoak.seeds=50 -Dsoak.out=FOLDER}. One play takes about 25 s.
 *
 * <p>Bounds, written before the first run, from RULES and the settings: a request that was sent on
 * a new connection gets a whole answer unless its scheduler was killed or stopped at most ContactMs
 * (4 s) before it was sent or before it ended; an answer names its request; no change that builds
 * on the newest is refused; one is acknowledged ContactMs + AcknowledgeMs (9 s) after the last
 * trouble; what was acknowledged is read back; a process ends GracePeriodS + 1 s (7 s) after
 * SIGTERM; nothing is left.
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

    /** What may befall a process. */
    private enum Fault {
        TERMINATED,
        KILLED,
        STOPPED,
        RELOADED,
        /** It is killed and comes back without what its disk held. */
        DISK_LOST
    }

    /** What may befall any process, and one more often than once. */
    private static final List<Fault> REPEATABLE_FAULTS =
            List.of(Fault.TERMINATED, Fault.KILLED, Fault.STOPPED, Fault.RELOADED);

    /** What befell a process, and when (System.nanoTime()). */
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
                "the first configuration was not taken in 30 s");
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

    // ---- Troubles ----

    /** Troubles come at their times, each on a thread of its own, so that they overlap. */
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
            threads.add(new Thread(() -> injectFault(node, fault, delayMs, durationMs), "trouble"));
        }
        // One machine of the core may be lost for good: ToleratedLosses.
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
            // One trouble at a time befalls a process; those of others go on beside it.
            synchronized (node) {
                injectedFaults.add(new InjectedFault(node, fault, System.nanoTime()));
                applyFault(node, fault, durationMs);
            }
        } catch (IOException | InterruptedException e) {
            violations.add(fault + " of " + node.name() + " went wrong: " + e);
        }
    }

    private void applyFault(PlatformProcesses.Node node, Fault fault, long durationMs)
            throws IOException, InterruptedException {
        switch (fault) {
            case RELOADED -> {
                // The system ends a virtual machine that has just been started at SIGHUP.
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
                    violations.add(node.name() + " did not end 7 s after SIGTERM");
                    node.signal("KILL");
                    node.awaitExit(EXIT_TIMEOUT_MS);
                }
                node.start();
            }
        }
    }

    // ---- Judging ----

    private void checkConfigurationChanges(PlatformProcesses platform, PlatformOperator operator)
            throws InterruptedException {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ACKNOWLEDGE_TIMEOUT_MS);
        if (!operator.applyNextChange(deadlineNanos)) {
            violations.add("no change was acknowledged 9 s after the last trouble");
        }
        operator.rejectedChanges.forEach(order -> violations.add("refused: " + order));
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
                                + " does not tell "
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
                    violations.add("an answer of another request at " + request);
                }
                if (request.status() == 0 && !request.reused() && !isLossAllowed(request)) {
                    violations.add("lost on a new connection: " + request);
                }
            }
        }
        if (served == 0) {
            violations.add("no request was served");
        }
    }

    /** Unplanned trouble of its scheduler, from ContactMs before it was sent until its end. */
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

    /** All are terminated at once, the members of the core too. */
    private void terminateAll(PlatformProcesses platform) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EXIT_TIMEOUT_MS);
        for (PlatformProcesses.Node node : platform.allNodes()) {
            node.signal("TERM");
        }
        for (PlatformProcesses.Node node : platform.allNodes()) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            if (!node.awaitExit(Math.max(1, remainingMs))) {
                violations.add(node.name() + " is left 7 s after SIGTERM");
            }
        }
        if (!platform.livePids().isEmpty()) {
            violations.add("processes are left: " + platform.livePids());
        }
    }
}
