package gingerspool.controlplane;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.controlplane.ClusterModel.Node;
import gingerspool.settings.NodeSettings;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The leader's duties while the lease holds, after it has lapsed, and once the term is over. */
public class LeaderDutiesTest {
    private static final double HEARTBEAT_MS = 2 * ClusterModel.LEASE_MS;
    private static final String CONFIGURATION =
            "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"HostName\":\"h\",\"PathPrefix\":\"/\","
                    + "\"Service\":\"f\",\"TargetLatencyMs\":100}],\"Services\":[{\"Name\":\"f\","
                    + "\"MemoryMb\":128,\"BootMs\":200,\"MaxConcurrency\":2}]}";

    private ClusterModel cluster;
    private final NodeSettings settings = settings();
    private ModelPlatform platform;

    private static NodeSettings settings() {
        try {
            Path file = Files.createTempFile("settings", ".toml");
            Files.writeString(
                    file,
                    """
                    NodeName = "core-1"
                    IpAddress = "10.0.0.1"
                    Zone = "a"
                    InternalPortRange = [7400,7415]
                    HeartbeatIntervalMs = 1000
                    [Zones]
                    a = "r"
                    [Cloud]
                    Address = "10.0.9.9:1"
                    RatePerS = 50.0
                    LagMs = 100
                    DutyPerS = 50.0
                    """);
            return NodeSettings.read(file);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** A platform that executes every call at once and records it. */
    private final class ModelPlatform implements Platform {
        final List<String> calls = new ArrayList<>();
        final Set<String> nonces = new HashSet<>();
        final Map<String, String> instances = new HashMap<>();
        final Set<String> draining = new HashSet<>();

        @Override
        public void instances(Consumer<List<Object>> callback) {
            calls.add("list");
            List<Object> entries = new ArrayList<>();
            instances.forEach(
                    (id, host) ->
                            entries.add(
                                    Map.of(
                                            "Identifier",
                                            id,
                                            "Service",
                                            "f",
                                            "Address",
                                            "10.1.0.1:1",
                                            "Zone",
                                            "a",
                                            "Worker",
                                            host,
                                            "ConcurrencySlots",
                                            2,
                                            "State",
                                            draining.contains(id) ? "draining" : "ready")));
            cluster.loop.schedule(10, () -> callback.accept(entries));
        }

        @Override
        public void hosts(Consumer<Response> callback) {
            Map<String, Object> host =
                    Map.of(
                            "Name", "w",
                            "Zone", "a",
                            "MemoryMb", 1024,
                            "FreeMemoryMb", 1024,
                            "State", "ready");
            Response response = new Response(200, Map.of("Workers", List.of(host)));
            cluster.loop.schedule(10, () -> callback.accept(response));
        }

        @Override
        public void start(
                String leaderName,
                long fencingToken,
                String service,
                String host,
                String nonce,
                Consumer<Response> callback) {
            calls.add("start");
            assertTrue(nonces.add(nonce), "nonce used for a second start: " + nonce);
            String id = "i-" + nonces.size();
            instances.put(id, host);
            cluster.loop.schedule(
                    10,
                    () ->
                            callback.accept(
                                    new Response(
                                            200,
                                            Map.of("Identifier", id, "Address", "10.1.0.1:1"))));
        }

        @Override
        public void stop(
                String leaderName,
                long fencingToken,
                String instance,
                Consumer<Response> callback) {
            calls.add("stop");
            cluster.loop.schedule(10, () -> callback.accept(new Response(200, null)));
        }
    }

    /** A scheduler's link that records the messages sent on it. */
    private static final class Link implements InternalEndpoint.Link {
        final List<Object> received = new ArrayList<>();

        @Override
        public void send(Object message) {
            received.add(message);
        }

        int grants() {
            return (int) received.stream().filter(Messages.SlotGrant.class::isInstance).count();
        }
    }

    /** The leader's part of a control node, connected as ControlNode connects it. */
    private final class LeaderSide {
        final Node node;
        final Leadership leadership;
        final SchedulerRegistry schedulers;
        int endedDuties;

        LeaderSide(Node node) {
            this.node = node;
            ConfigurationState state = new ConfigurationState();
            state.apply(true, 0, CONFIGURATION.getBytes(StandardCharsets.UTF_8));
            schedulers = new SchedulerRegistry(cluster.loop, settings, state);
            schedulers.onConfigurationChanged();
            leadership =
                    new Leadership(
                            node.replica,
                            term -> {
                                LeaderDuties duties =
                                        new LeaderDuties(
                                                cluster.loop,
                                                settings,
                                                platform,
                                                term,
                                                node::isLeading,
                                                schedulers::send,
                                                schedulers::sendToAll);
                                duties.onConfigurationChanged(state.configuration());
                                schedulers.startLeading(duties);
                                return duties;
                            },
                            () -> {
                                endedDuties++;
                                schedulers.stopLeading();
                            });
            update();
        }

        private void update() {
            leadership.update(cluster.loop.now());
            cluster.loop.schedule(5, this::update);
        }
    }

    private static Messages.Register register(Map<String, Integer> held) {
        return new Messages.Register("s", "a", 0, held);
    }

    private static Messages.SlotDemand demand(int missingSlots, long granted) {
        return new Messages.SlotDemand("f", missingSlots, granted, missingSlots, missingSlots, 50);
    }

    private LeaderSide leader;
    private Link link;

    @BeforeMethod
    public void lead() {
        cluster = new ClusterModel(3);
        platform = new ModelPlatform();
        leader = new LeaderSide(cluster.awaitLeader());
        cluster.loop.run(HEARTBEAT_MS / 2);
        link = new Link();
        leader.schedulers.register(link, register(Map.of()), 1);
        leader.schedulers.received(link, demand(1, 0));
        cluster.loop.run(HEARTBEAT_MS);
        assertTrue(link.grants() >= 1, "no slots were granted under the lease");
    }

    @Test
    public void nothingIsDoneWithoutLease() {
        cluster.isolate(leader.node);
        while (leader.node.isLeading()) {
            cluster.loop.run(5);
        }
        platform.calls.clear();
        link.received.clear();
        for (int i = 0; i < 40; i++) {
            leader.schedulers.received(link, demand(5, 0));
            leader.schedulers.received(
                    link, new Messages.SlotReturn("i-1", 1, Messages.InstanceCondition.HEALTHY));
            cluster.loop.run(100);
        }
        assertEquals(link.grants(), 0);
        assertTrue(link.received.stream().noneMatch(Messages.SlotRecall.class::isInstance));
        assertEquals(platform.calls, List.of());
        assertEquals(leader.endedDuties, 1, "the leader steps down and its duties end once");
        assertEquals(leader.schedulers.size(), 0);
    }

    /** The duties continue if the lease lapses and is renewed within the term. */
    @Test
    public void dutiesContinueAfterLeaseIsRenewed() {
        long term = leader.node.replica.term();
        cluster.isolate(leader.node);
        while (leader.node.isLeading()) {
            cluster.loop.run(5);
        }
        cluster.cutLinks.clear();
        cluster.loop.run(ClusterModel.LEASE_MS);
        assertTrue(leader.node.isLeading());
        assertEquals(leader.node.replica.term(), term);
        assertEquals(leader.endedDuties, 0);
        int grantsBefore = link.grants();
        leader.schedulers.received(link, demand(1, grantsBefore));
        cluster.loop.run(HEARTBEAT_MS);
        assertTrue(link.grants() > grantsBefore);
    }

    /**
     * Messages that arrive late on an earlier link were sent before the scheduler registered again;
     * they must not change its slots.
     */
    @Test
    public void messagesOnEarlierLinkAreIgnored() {
        String heldInstance =
                link.received.stream()
                        .filter(Messages.SlotGrant.class::isInstance)
                        .map(m -> ((Messages.SlotGrant) m).instance())
                        .findFirst()
                        .orElseThrow();
        Link newLink = new Link();
        leader.schedulers.register(newLink, register(Map.of(heldInstance, 2)), 1);
        leader.schedulers.received(
                link, new Messages.SlotReturn(heldInstance, 2, Messages.InstanceCondition.HEALTHY));
        leader.schedulers.closed(link);
        assertEquals(leader.leadership.duties().allocator.instance(heldInstance).grantedSlots(), 2);
        assertEquals(leader.schedulers.size(), 1);
    }

    /**
     * A scheduler holds slots of instances that the new leader saw draining before the scheduler
     * registered with it.
     */
    @Test
    public void registeringSchedulerLearnsOfDrainingInstances() {
        Node oldLeader = leader.node;
        cluster.isolate(oldLeader);
        platform.draining.addAll(platform.instances.keySet());
        Set<String> drainingIds = Set.copyOf(platform.draining);
        LeaderSide newLeader = new LeaderSide(cluster.awaitLeader(cluster.others(oldLeader)));
        cluster.loop.run(2 * HEARTBEAT_MS);
        Link newLink = new Link();
        Map<String, Integer> held = new HashMap<>();
        drainingIds.forEach(id -> held.put(id, 1));
        newLeader.schedulers.register(newLink, register(held), 2);
        newLeader.schedulers.received(newLink, demand(2, 0));
        cluster.loop.run(2 * HEARTBEAT_MS);
        Set<String> withdrawn = new HashSet<>();
        for (Object message : newLink.received) {
            if (message instanceof Messages.InstanceWithdrawal w) {
                withdrawn.addAll(w.instances());
            } else if (message instanceof Messages.SlotGrant g) {
                assertFalse(
                        drainingIds.contains(g.instance()),
                        "slots of a draining instance were granted");
            }
        }
        assertEquals(withdrawn, drainingIds);
    }
}
