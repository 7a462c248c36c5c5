package gingerspool.dataplane;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.Limits;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.settings.NodeSettings;
import gingerspool.store.ConnectionPool;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a client of the router sees, with a simulated network and clock. */
public class RequestRouterTest implements RequestRouter.ControlPlane {
    private static final double HEARTBEAT_MS = 400;
    private ModelNetwork network;
    private RequestRouter router;
    private List<Object> messagesToLeader;

    /** Whether the queue that sends the next message to the leader is to fail by it. */
    private boolean failsNextMessage;

    /** A client's connection, with what it received and when it was closed. */
    private final class ClientConnection implements ModelNetwork.Remote {
        final ModelNetwork.Channel channel = network.channel();
        final StringBuilder receivedText = new StringBuilder();
        double receivedAt = Double.NaN;
        double closedAt = Double.NaN;

        ClientConnection() {
            channel.setRemote(this);
            network.execute(() -> router.accept(channel, network.noticedAt()));
        }

        ClientConnection send(String text) {
            channel.send(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        ClientConnection request(String id, String kind, int remaining) {
            return send(
                    "GET /"
                            + kind
                            + "/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                            + id
                            + "\r\nRemaining-Milliseconds: "
                            + remaining
                            + "\r\n\r\n");
        }

        String status() {
            return receivedText.length() < 12 ? "" : receivedText.substring(9, 12);
        }

        @Override
        public void received(byte[] bytes) {
            receivedText.append(new String(bytes, StandardCharsets.ISO_8859_1));
            receivedAt = network.now();
        }

        @Override
        public void closed() {
            closedAt = network.now();
        }
    }

    @BeforeMethod
    public void open() throws Exception {
        Path file = Files.createTempFile("front", ".toml");
        Files.writeString(
                file,
                """
            NodeName = "front-1"
            IpAddress = "127.0.0.1"
            Zone = "a"
            InternalPortRange = [7400,7401]
            HeartbeatIntervalMs = 400
            [Zones]
            a = "r"
            [Bounds]
            RetryBudgetSlack = 10
            """);
        NodeSettings settings = NodeSettings.read(file);
        network = new ModelNetwork(1, Set.of());
        messagesToLeader = new ArrayList<>();
        ConnectionPool pool = new ConnectionPool(network, 10 * HEARTBEAT_MS, 5000, 40);
        router = new RequestRouter(network, settings, pool, this, () -> {});
        router.configure(configuration(1, 3000, 15_000));
    }

    private static Configuration configuration(long version, long headerTimeout, long idleTimeout) {
        Configuration.Builder builder =
                Configuration.newBuilder()
                        .setVersion(version)
                        .setLimits(
                                Limits.newBuilder()
                                        .setHeaderBytes(1000)
                                        .setBodyBytes(2000)
                                        .setHeaderTimeout(headerTimeout)
                                        .setIdleTimeout(idleTimeout))
                        .addServices(
                                Service.newBuilder().setName("f").setBoot(100).setConcurrency(2));
        for (String kind : List.of("safe", "unsafe")) {
            builder.addRoutes(
                    Route.newBuilder()
                            .setName(kind)
                            .setHost("h.example")
                            .setPrefix("/" + kind + "/")
                            .setKind(kind)
                            .setAttempts(1)
                            .setTimeout(1000)
                            .setAim(300)
                            .setService("f"));
        }
        return builder.build();
    }

    private static Route route(String name, String service) {
        return Route.newBuilder()
                .setName(name)
                .setHost("h.example")
                .setPrefix("/" + name + "/")
                .setKind("safe")
                .setAttempts(1)
                .setTimeout(1000)
                .setAim(300)
                .setService(service)
                .build();
    }

    /** A configuration with the services f, g and h and these routes. */
    private static Configuration routed(long version, Route... routes) {
        Configuration.Builder builder = Configuration.newBuilder().setVersion(version);
        for (String service : List.of("f", "g", "h")) {
            builder.addServices(
                    Service.newBuilder().setName(service).setBoot(100).setConcurrency(2));
        }
        return builder.addAllRoutes(List.of(routes)).build();
    }

    /**
     * Starts an instance that answers each request with 200 after `serviceTime` ms, and adds the
     * ids of the requests to the list as they arrive.
     */
    private void startInstance(int port, double serviceTime, List<String> received) {
        network.listen(
                new InetSocketAddress("127.0.0.1", port),
                channel ->
                        new ModelNetwork.Remote() {
                            @Override
                            public void received(byte[] bytes) {
                                String text = new String(bytes, StandardCharsets.ISO_8859_1);
                                String id = text.replaceAll("(?s).*Request-Id: (\\w+)\r.*", "$1");
                                received.add(id);
                                network.runAt(
                                        network.now() + serviceTime,
                                        () -> channel.send(success(id)));
                            }

                            @Override
                            public void closed() {}
                        });
    }

    /** An instance that resets each connection 50 ms after a request arrived on it. */
    private final class ResettingInstance implements ModelNetwork.Remote {
        private final ModelNetwork.Channel channel;

        ResettingInstance(ModelNetwork.Channel channel) {
            this.channel = channel;
        }

        @Override
        public void received(byte[] bytes) {
            network.runAt(network.now() + 50, channel::reset);
        }

        @Override
        public void closed() {}
    }

    private static byte[] success(String id) {
        return ("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: "
                        + id
                        + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void run(double duration) {
        network.runUntil(network.now() + duration);
        assertEquals(network.violation(), null);
    }

    private void grant(String instance, int port, int slots) {
        grant("f", instance, port, slots);
    }

    private void grant(String function, String instance, int port, int slots) {
        network.execute(
                () ->
                        router.queue(function)
                                .onGrant(
                                        new Messages.SlotGrant(
                                                function,
                                                instance,
                                                "127.0.0.1:" + port,
                                                "a",
                                                slots,
                                                slots,
                                                0,
                                                slots)));
    }

    @Test
    public void aSlowRequestHeadIsAnswered408() {
        double startedAt = network.now();
        ClientConnection slow = new ClientConnection().send("GET /safe/ HTTP/1.1\r\nHost");
        run(2900);
        assertEquals(slow.status(), "");
        run(300);
        assertEquals(slow.status(), "408");
        assertTrue(
                slow.receivedAt < startedAt + 3100 && slow.closedAt > 0,
                "the header time-out is 3000 ms");
    }

    @Test
    public void headAndBodyLimitsComeFromTheConfiguration() {
        ClientConnection head =
                new ClientConnection()
                        .send("GET / HTTP/1.1\r\nX: " + "x".repeat(1000) + "\r\n\r\n");
        ClientConnection body =
                new ClientConnection().send("POST /safe/ HTTP/1.1\r\nContent-Length: 2001\r\n\r\n");
        run(100);
        assertEquals(head.status(), "431");
        assertEquals(body.status(), "413");
    }

    @Test
    public void newLimitsApplyToOpenConnections() {
        ClientConnection idle = new ClientConnection();
        run(10_000);
        router.configure(configuration(2, 3000, 30_000));
        run(19_000);
        assertTrue(Double.isNaN(idle.closedAt), "the idle time-out is 30 s now");
        run(2000);
        assertFalse(Double.isNaN(idle.closedAt), "the idle time-out has passed");
    }

    /**
     * A 504 would leave open whether the request ran, and a 5xx response without a retry offer
     * costs half.
     */
    @Test
    public void anUnsentRequestIsReportedAsNotExecuted() {
        InetSocketAddress silent = new InetSocketAddress("127.0.0.1", 9);
        network.listenSilently(silent);
        ClientConnection connection = new ClientConnection().request("a", "unsafe", 900);
        run(20);
        grant("i-1", 9, 1);
        run(700);
        assertEquals(connection.status(), "", "still connecting");
        run(300);
        assertEquals(connection.status(), "503");
    }

    /**
     * Guards against measuring the remaining time from when a late event loop reads the request,
     * which extends its deadline by the delay.
     */
    @Test
    public void aRequestThatIsReadLateIsAnsweredBeforeItsDeadline() {
        InetSocketAddress silent = new InetSocketAddress("127.0.0.1", 9);
        network.listenSilently(silent);
        network.loopDelay = 400;
        ClientConnection connection = new ClientConnection().request("a", "unsafe", 900);
        run(20);
        grant("i-1", 9, 1);
        run(450);
        assertEquals(connection.status(), "", "still connecting");
        run(50);
        assertEquals(connection.status(), "503");
    }

    @Test
    public void pendingRequestsAreAnsweredAtShutdown() {
        ClientConnection connection = new ClientConnection().request("a", "safe", 900);
        run(20);
        router.startDraining();
        network.execute(router::abortAll);
        run(20);
        assertEquals(connection.status(), "503");
        assertTrue(
                connection.receivedText.toString().contains("Connection: close"),
                connection.receivedText.toString());
        assertEquals(router.inFlight(), 0);
    }

    /**
     * Guards against a request that gets no answer at its expiry, or none of those behind it as the
     * process ends, because the queue of its function fails while it drops the request.
     */
    @Test
    public void requestsAreAnsweredThoughTheirQueueFails() {
        network.listenSilently(new InetSocketAddress("127.0.0.1", 9));
        ClientConnection expired = new ClientConnection().request("a", "safe", 300);
        ClientConnection next = new ClientConnection().request("b", "safe", 900);
        run(20);
        grant("i-1", 9, 1);
        run(80);
        failsNextMessage = true;
        run(250);
        assertEquals(expired.status(), "503");
        assertEquals(next.status(), "", "its time is not over");
        new ClientConnection().request("c", "safe", 900);
        run(50);
        failsNextMessage = true;
        network.execute(router::abortAll);
        run(20);
        assertEquals(next.status(), "503");
        assertEquals(router.inFlight(), 0);
    }

    /**
     * A nested call keeps a slot of its caller busy, and a request that was rejected once must not
     * be rejected again.
     */
    @Test
    public void aRequestWithReducedRemainingTimeIsServedFirst() {
        List<String> order = new ArrayList<>();
        startInstance(8, 0, order);
        new ClientConnection().request("first", "safe", 1000);
        run(20);
        new ClientConnection().request("call", "safe", 600);
        run(20);
        grant("i-1", 8, 1);
        run(100);
        assertEquals(order, List.of("call", "first"));
    }

    /**
     * Guards against a service without routes that spoils the configuration: the services behind it
     * were not told of theirs, and requests on the moved route got no answer.
     */
    @Test
    public void aRouteThatMovesOutAndBackAndOutAgainIsServed() {
        router.configure(routed(2, route("moved", "f")));
        List<String> services = List.of("f", "g", "f", "g", "h", "f");
        for (int i = 0; i < services.size(); i++) {
            String service = services.get(i);
            router.configure(routed(3 + i, route("moved", service)));
            startInstance(10 + i, 20, new ArrayList<>());
            ClientConnection connection = new ClientConnection().request("r" + i, "moved", 900);
            run(20);
            grant(service, "i-" + i, 10 + i, 1);
            run(100);
            assertEquals(connection.status(), "200", "change " + i + ", to " + service);
        }
    }

    /**
     * Guards against waiting requests that lose the profile of their route: they got no answer, not
     * even at their expiry.
     */
    @Test
    public void requestsThatWaitAsTheirRouteMovesAwayAreServed() {
        router.configure(routed(2, route("moved", "f")));
        List<ClientConnection> connections = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            connections.add(new ClientConnection().request("r" + i, "moved", 900));
        }
        run(50);
        router.configure(routed(3, route("moved", "g")));
        startInstance(8, 20, new ArrayList<>());
        run(50);
        grant("i-1", 8, 2);
        run(300);
        connections.forEach(connection -> assertEquals(connection.status(), "200"));
        assertEquals(router.inFlight(), 0);
    }

    /**
     * Guards against requests of a new route that are treated as those of the routes before it: a
     * Dispatcher is not replaced while requests are in flight, and the service is never without.
     */
    @Test
    public void aSafeRequestOnARouteAddedToABusyServiceIsRetried() {
        Route unsafe = route("old", "f").toBuilder().setKind("unsafe").build();
        router.configure(routed(2, unsafe));
        startInstance(8, 900, new ArrayList<>());
        new ClientConnection().request("busy", "old", 1000);
        run(20);
        grant("i-1", 8, 1);
        run(20);
        Route added = route("added", "f").toBuilder().setAttempts(2).build();
        router.configure(routed(3, unsafe, added));
        ClientConnection connection = new ClientConnection().request("a", "added", 1000);
        run(20);
        network.listen(new InetSocketAddress("127.0.0.1", 9), ResettingInstance::new);
        grant("i-2", 9, 1);
        run(20);
        startInstance(9, 20, new ArrayList<>());
        run(300);
        assertEquals(connection.status(), "200");
    }

    /** Guards against requests that expire without an answer after their route has moved away. */
    @Test
    public void requestsThatExpireAsTheirRouteMovesAwayAreAnswered() {
        network.listenSilently(new InetSocketAddress("127.0.0.1", 9));
        router.configure(routed(2, route("moved", "f")));
        List<ClientConnection> connections = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            connections.add(new ClientConnection().request("r" + i, "moved", 900));
        }
        run(50);
        router.configure(routed(3));
        grant("i-1", 9, 2);
        run(1000);
        connections.forEach(connection -> assertEquals(connection.status(), "503"));
        assertEquals(router.inFlight(), 0);
    }

    @Test
    public void theLargestRecentSchedulerCountIsUsed() {
        SchedulerCount count = new SchedulerCount(10_000);
        assertEquals(count.max(0), 1);
        count.report(0, 8);
        count.report(1000, 1);
        count.report(1010, 2);
        assertEquals(
                count.max(10_900),
                8,
                "the count is low while schedulers register with a new leader");
        assertEquals(count.max(11_100), 2, "the larger count is outside the window");
        count.report(12_000, 5);
        assertEquals(count.max(12_000), 5);
        assertEquals(count.max(90_000), 5);
    }

    @Override
    public boolean sendToLeader(Object message) {
        if (failsNextMessage) {
            failsNextMessage = false;
            throw new IllegalStateException("a failure of the queue");
        }
        return messagesToLeader.add(message);
    }

    @Override
    public double leaderlessFor() {
        return 0;
    }
}
