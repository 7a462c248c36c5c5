package gingerspool.dataplane;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gingerspool.codec.Messages;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.settings.NodeSettings;
import gingerspool.standin.Cloud;
import gingerspool.store.ConnectionPool;
import gingerspool.wire.Address;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import gingerspool.wire.Message;
import gingerspool.wire.SingleThreadEventLoop;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** One function's desk against instances of the stand-in; what it tells the leader is kept. */
public class FunctionQueueTest implements FunctionQueue.Environment {
    private static final double BEAT = 400;
    private SingleThreadEventLoop loop;
    private Cloud cloud;
    private ConnectionPool pool;
    private NodeSettings settings;
    private FunctionQueue queue;
    private BlockingQueue<Object> sentMessages;
    private BlockingQueue<String> answers;
    private int poolIndexes;

    @BeforeMethod
    public void open() throws Exception {
        loop = new SingleThreadEventLoop();
        sentMessages = new LinkedBlockingQueue<>();
        answers = new LinkedBlockingQueue<>();
        poolIndexes = 0;
        cloud = new Cloud(loop, "127.0.7.2", Map.of("h1", "a"), 1, 20, 0, 2);
        Path file = Files.createTempFile("desk", ".toml");
        Files.writeString(
                file,
                """
            NodeName = "front-1"
            IpAddress = "127.0.0.1"
            Zone = "a"
            InternalPortRange = [7400,7401]
            HeartbeatIntervalMs = %d
            [Zones]
            a = "r"
            [Bounds]
            RetryBudgetSlack = 10
            """
                        .formatted((int) BEAT));
        settings = NodeSettings.read(file);
        pool = new ConnectionPool(loop, 500, 5000, 20);
        queue =
                on(
                        () -> {
                            FunctionQueue d = new FunctionQueue(this, "f");
                            d.onConfiguration(
                                    Service.newBuilder()
                                            .setName("f")
                                            .setBoot(50)
                                            .setConcurrency(2)
                                            .build(),
                                    List.of(route("safe", 1)));
                            return d;
                        });
    }

    @AfterMethod
    public void end() throws Exception {
        on(
                () -> {
                    cloud.close();
                    return null;
                });
        loop.stop();
    }

    private <T> T on(Callable<T> what) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.submit(
                () -> {
                    try {
                        done.complete(what.call());
                    } catch (Exception e) {
                        done.completeExceptionally(e);
                    }
                });
        return done.get(5, TimeUnit.SECONDS);
    }

    private static Route route(String kind, int attempts) {
        return Route.newBuilder()
                .setName("r")
                .setService("f")
                .setKind(kind)
                .setTimeout(4000)
                .setAim(1000)
                .setAttempts(attempts)
                .build();
    }

    /** A request comes; returns its id. */
    private String request(String id, Route route) throws Exception {
        on(
                () -> {
                    byte[] b =
                            ("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1);
                    Message m = Message.request();
                    m.take(b, 0, b.length);
                    PendingRequest v =
                            new PendingRequest(
                                    id,
                                    null,
                                    m,
                                    route,
                                    loop.now(),
                                    loop.now() + route.getAim(),
                                    loop.now() + route.getAim(),
                                    true);
                    v.expiry = loop.now() + route.getTimeout();
                    queue.enqueue(v);
                    return null;
                });
        return id;
    }

    private void grant(String instance, String address) throws Exception {
        on(
                () -> {
                    queue.onGrant(new Messages.SlotGrant("f", instance, address, "a", 2, 1, 0, 1));
                    return null;
                });
    }

    private void begin(String nonce) throws Exception {
        HttpResponse<String> a =
                HttpClient.newHttpClient()
                        .send(
                                HttpRequest.newBuilder(
                                                URI.create(
                                                        "http://"
                                                                + Address.text(cloud.address())
                                                                + "/v1/begin"))
                                        .POST(
                                                HttpRequest.BodyPublishers.ofString(
                                                        "{\"Service\":\"f\",\"Worker\":\"h1\",\"Nonce\":\""
                                                                + nonce
                                                                + "\"}"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
        Object tree = Json.read(a.body());
        String address = JsonTree.text("", tree, "Address");
        // It starts after a millisecond on the same loop; a knock would wait for it as well.
        on(() -> null);
        CompletableFuture<Void> later = new CompletableFuture<>();
        loop.submit(() -> loop.schedule(20, () -> later.complete(null)));
        later.get(5, TimeUnit.SECONDS);
        grant(JsonTree.text("", tree, "Identifier"), address);
    }

    private static String closedPort() throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.7.2"))) {
            return "127.0.7.2:" + free.getLocalPort();
        }
    }

    /** The first word of this kind that the leader is told from now on. */
    private <T> T next(Class<T> kind) throws Exception {
        for (Object message = sentMessages.poll(5, TimeUnit.SECONDS);
                message != null;
                message = sentMessages.poll(5, TimeUnit.SECONDS)) {
            if (kind.isInstance(message)) {
                return kind.cast(message);
            }
        }
        throw new AssertionError("no " + kind.getSimpleName() + " was said");
    }

    private String answer() throws Exception {
        return answers.poll(5, TimeUnit.SECONDS);
    }

    @Test
    public void anInstanceOutOfReachIsNoAttemptForWhatMayRunOnceOnly() throws Exception {
        for (String kind : List.of("safe", "unsafe")) {
            request(kind, route(kind, 1));
            grant("gone-" + kind, closedPort());
            assertEquals(
                    next(Messages.SlotReturn.class).condition(),
                    Messages.InstanceCondition.UNREACHABLE);
            begin(kind);
            assertEquals(answer(), "200 " + kind, "its one attempt was still to come");
            assertEquals(
                    next(Messages.SlotReturn.class).condition(),
                    Messages.InstanceCondition.HEALTHY,
                    "before the next comes");
        }
    }

    @Test
    public void whatMayNotRunTwiceIsNotSentAgainAfterAByteWentOut() throws Exception {
        try (ServerSocket cuts = new ServerSocket(0, 5, InetAddress.getByName("127.0.7.2"))) {
            Thread reader =
                    new Thread(
                            () -> {
                                try {
                                    var s = cuts.accept();
                                    s.getInputStream().read();
                                    s.close();
                                } catch (java.io.IOException e) {
                                    answers.add(e.toString());
                                }
                            });
            reader.start();
            request("once", route("unsafe", 2));
            grant("cuts", "127.0.7.2:" + cuts.getLocalPort());
            assertEquals(answer(), "502 once", "no promise, as it may have run");
            reader.join(5000);
            begin("b");
            assertEquals(on(() -> cloud.ran).intValue(), 0);
        }
    }

    @Test
    public void aSlotIsKeptWhereTheNextRequestIsNearAndElseGoesBackAtOnce() throws Exception {
        request("first", route("safe", 1));
        begin("a");
        assertEquals(answer(), "200 first");
        double served = on(loop::now);
        assertEquals(next(Messages.SlotReturn.class).slots(), 1);
        assertTrue(on(loop::now) < served + BEAT / 4, "nothing says that another request is near");
        for (int i = 0; i < 40; i++) {
            request("n" + i, route("safe", 1));
            if (i < 20) {
                begin("b");
            } else if (i == 20) {
                sentMessages.clear();
            }
            assertEquals(answer(), "200 n" + i);
        }
        assertNull(
                sentMessages.stream()
                        .filter(w -> w instanceof Messages.SlotReturn)
                        .findFirst()
                        .orElse(null),
                "requests come every 20 ms: the slot stays");
    }

    @Test
    public void withoutAnInstanceInSightARequestIsToldWhenToComeBack() throws Exception {
        double came = on(loop::now);
        request("lost", route("safe", 1));
        assertEquals(answer(), "503 lost Retry-After: 0.05");
        assertTrue(on(loop::now) < came + 1500, "long before its deadline");
    }

    // ---- The environment ----

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public ConnectionPool pool() {
        return pool;
    }

    @Override
    public NodeSettings settings() {
        return settings;
    }

    @Override
    public int schedulerCount() {
        return 1;
    }

    @Override
    public boolean sendToLeader(Object message) {
        sentMessages.add(message);
        return true;
    }

    @Override
    public double leaderlessFor() {
        return 0;
    }

    @Override
    public int allocatePoolIndex() {
        return poolIndexes++;
    }

    @Override
    public void releasePoolIndex(int poolIndex) {}

    @Override
    public void answer(PendingRequest v, int status, List<String> fields, byte[] body) {
        String back =
                fields.stream().filter(f -> f.startsWith("Retry-After")).findFirst().orElse(null);
        answers.add(status + " " + v.id + (back == null ? "" : " " + back));
    }
}
