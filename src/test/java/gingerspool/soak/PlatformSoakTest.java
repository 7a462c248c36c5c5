package gingerspool.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the platform's two programs as processes. By seed, {@link PlatformFaults} terminates, kills,
 * suspends, reloads and restarts them in series that overlap, and {@link RouteChanges} adds,
 * splits, moves, moves back, removes and adds anew routes in series, while clients send requests
 * over persistent connections. The changes go on for a while after the last fault; then all is
 * calm, and at last all processes are terminated under their clients.
 *
 * <p>Two seeds run by default. To run more of them: {@code mvn test -Dtest=PlatformSoakTest
 * -Dsoak.from=1 -Dsoak.seeds=50 -Dsoak.out=FOLDER}. One seed takes about 45 s. Each tenth seed runs
 * 5 control nodes and 20 schedulers; {@code -Dsoak.schedulers=N} sets their number.
 *
 * <p>The bounds were set before the first run, from RULES and the settings:
 *
 * <ul>
 *   <li>A request that an instance got, or whose connection ends more than LossSlackMs (0.2 s)
 *       after it was sent, gets a complete response, unless its scheduler was killed or suspended
 *       between ContactMs (4 s) before it was sent and its end.
 *   <li>A response names its own request; one is run only by a service that some configuration led
 *       it to and, in calm times, none that only a version replaced ConfigApplyMs (3 s) before
 *       leads to. A route that is there is found.
 *   <li>No request stays without a response for twice its client's time, and of those unanswered at
 *       their time-out not more than half, and less than eight, are 0.5 s later.
 *   <li>In calm times each route is served at least a quarter as often as the first one.
 *   <li>No change that is based on the newest version is rejected.
 *   <li>A change is acknowledged within ContactMs + AcknowledgeMs (9 s) after the last fault.
 *   <li>Acknowledged changes are read back.
 *   <li>No process ends by itself or logs an error.
 *   <li>A process exits within GracePeriodS + 1 s (7 s) after SIGTERM, and no process remains.
 * </ul>
 */
public class PlatformSoakTest {
    private static final int CONTROL_NODE_COUNT = 3;
    private static final int SCHEDULER_COUNT = 2;
    private static final int CLIENT_COUNT = 12;
    private static final int LARGE_RUN_INTERVAL = 10;
    private static final int LARGE_CONTROL_NODE_COUNT = 5;
    private static final int LARGE_SCHEDULER_COUNT = 20;
    private static final long CONTACT_TIMEOUT_MS = 4000;
    private static final long ACKNOWLEDGE_TIMEOUT_MS = CONTACT_TIMEOUT_MS + 5000;
    private static final long APPLY_TIMEOUT_MS = 3000;
    private static final long START_TIMEOUT_MS = 30_000;

    /** How long routes change in calm times. */
    private static final long CALM_CHANGES_MS = 6000;

    /** How long requests are judged after the last change is in force. */
    private static final long JUDGED_MS = 5000;

    private final List<String> violations = new CopyOnWriteArrayList<>();

    @DataProvider
    public Object[][] seeds() {
        long from = Long.getLong("soak.from", 1);
        int count = Integer.getInteger("soak.seeds", 2);
        Object[][] seeds = new Object[count][];
        for (int i = 0; i < count; i++) {
            seeds[i] = new Object[] {from + i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void noAcknowledgedChangeIsLostAndNoProcessRemains(long seed) throws Exception {
        violations.clear();
        String outputFolder = System.getProperty("soak.out");
        Path folder =
                outputFolder == null
                        ? Files.createTempDirectory("platform-soak")
                        : Files.createDirectories(Path.of(outputFolder, "platform-" + seed));
        boolean isLarge = seed % LARGE_RUN_INTERVAL == 0;
        int controlNodes = isLarge ? LARGE_CONTROL_NODE_COUNT : CONTROL_NODE_COUNT;
        int schedulers =
                Integer.getInteger(
                        "soak.schedulers", isLarge ? LARGE_SCHEDULER_COUNT : SCHEDULER_COUNT);
        try (PlatformProcesses platform = new PlatformProcesses(folder, controlNodes, schedulers)) {
            PlatformFaults faults = new PlatformFaults(platform, seed, violations);
            runScenario(platform, faults, seed);
            Files.writeString(
                    folder.resolve("said.txt"), String.join("\n", violations) + "\n" + faults);
            assertEquals(violations, List.of(), "seed " + seed + ": " + faults);
        }
        Folders.remove(folder);
    }

    private void runScenario(PlatformProcesses platform, PlatformFaults faults, long seed)
            throws Exception {
        ConfigurationLog configurations =
                new ConfigurationLog(TimeUnit.MILLISECONDS.toNanos(APPLY_TIMEOUT_MS));
        PlatformOperator operator =
                new PlatformOperator(platform.controlNodes, configurations, seed);
        assertTrue(
                operator.applyNextChange(nanosFromNow(START_TIMEOUT_MS)),
                "the first configuration was not acknowledged within 30 s");
        List<PlatformClient> clients = startClients(platform, configurations, seed);
        operator.start();
        faults.run();
        long faultsEndedNanos = System.nanoTime();
        long calmFromNanos = nanosFromNow(CONTACT_TIMEOUT_MS);
        Thread.sleep(CONTACT_TIMEOUT_MS + CALM_CHANGES_MS);
        operator.stopAndJoin();
        if (!configurations.isAcknowledgedBetween(
                faultsEndedNanos,
                faultsEndedNanos + TimeUnit.MILLISECONDS.toNanos(ACKNOWLEDGE_TIMEOUT_MS))) {
            violations.add("no change was acknowledged within 9 s after the last fault");
        }
        checkConfigurationChanges(platform, operator);
        Thread.sleep(APPLY_TIMEOUT_MS);
        long judgedFromNanos = System.nanoTime();
        Thread.sleep(JUDGED_MS);
        long judgedToNanos = System.nanoTime();
        faults.checkAllAlive();
        faults.terminateAll();
        for (PlatformProcesses.Node node : platform.allNodes()) {
            node.loggedErrors().forEach(line -> violations.add(node.name() + ": " + line));
        }
        List<PlatformClient.Request> requests = new ArrayList<>();
        for (PlatformClient client : clients) {
            client.stopAndJoin();
            requests.addAll(client.requests);
        }
        RequestChecks checks =
                new RequestChecks(platform, configurations, faults, calmFromNanos, violations);
        checks.check(requests);
        checks.checkRoutesServed(requests, judgedFromNanos, judgedToNanos);
    }

    private static List<PlatformClient> startClients(
            PlatformProcesses platform, ConfigurationLog configurations, long seed) {
        List<PlatformClient> clients = new ArrayList<>();
        int count = Math.max(CLIENT_COUNT, 2 * platform.schedulers.size());
        for (int i = 0; i < count; i++) {
            clients.add(new PlatformClient(platform, configurations, i, seed));
        }
        clients.forEach(Thread::start);
        return clients;
    }

    private static long nanosFromNow(long ms) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private void checkConfigurationChanges(PlatformProcesses platform, PlatformOperator operator)
            throws InterruptedException {
        long deadlineNanos = nanosFromNow(ACKNOWLEDGE_TIMEOUT_MS);
        if (!operator.applyNextChange(deadlineNanos)) {
            violations.add("the last change was not acknowledged within 9 s");
        }
        operator.rejectedChanges.forEach(order -> violations.add("rejected: " + order));
        SoakConfiguration expected = operator.acknowledged();
        for (PlatformProcesses.Node node : platform.controlNodes) {
            String configuration = PlatformOperator.readConfiguration(node);
            while (!isSame(configuration, expected) && System.nanoTime() < deadlineNanos) {
                Thread.sleep(100);
                configuration = PlatformOperator.readConfiguration(node);
            }
            if (!isSame(configuration, expected)) {
                violations.add(
                        node.name() + " does not return " + expected + " but " + configuration);
            }
        }
    }

    /** Whether this JSON has the version, the routes and the services of the configuration. */
    private static boolean isSame(String json, SoakConfiguration expected) {
        if (json.isEmpty()) {
            return false;
        }
        try {
            Object tree = Json.read(json);
            SortedMap<String, SoakConfiguration.Route> routes = new TreeMap<>();
            for (Object each : (List<?>) ((Map<?, ?>) tree).get("Routes")) {
                String name = JsonTree.text("", each, "Name");
                routes.put(
                        name,
                        new SoakConfiguration.Route(
                                name,
                                JsonTree.text("", each, "PathPrefix"),
                                JsonTree.text("", each, "Service"),
                                (int) JsonTree.number(0, each, "TimeoutMs")));
            }
            List<String> services = new ArrayList<>();
            for (Object each : (List<?>) ((Map<?, ?>) tree).get("Services")) {
                services.add(JsonTree.text("", each, "Name"));
            }
            return JsonTree.number(0, tree, "Version") == expected.version()
                    && routes.equals(expected.routes())
                    && services.size() == expected.services().size()
                    && expected.services().containsAll(services);
        } catch (BadMessage e) {
            return false;
        }
    }
}
