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

/**
 * A {@link FunctionQueue} with instances of the simulated platform. The test is the queue's
 * environment and keeps its messages to the leader and its responses.
 */
public class FunctionQueueTest implements FunctionQueue.Environment {
    private static final double HEARTBEAT_MS = 400;
    private SingleThreadEventLoop loop;
    private Cloud cloud;
    private ConnectionPool pool;
    private NodeSettings settings;
    private FunctionQueue queue;
    private BlockingQueue<Object> sentMessages;
    private BlockingQueue<String> responses;
    private int poolIndexes;

    @BeforeMethod
    public void open() throws Exception {
        loop = new SingleThreadEventLoop();
        sentMessages = new LinkedBlockingQueue<>();
        responses = new LinkedBlockingQueue<>();
        poolIndexes = 0;
        cloud = new Cloud(loop, "127.0.7.2", Map.of("h1", "a"), 1, 20, 0, 2);
        Path file = Files.createTempFile("queue", ".toml");
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
                        .formatted((int) HEARTBEAT_MS));
        settings = NodeSettings.read(file);
        pool = new ConnectionPool(loop, 500, 5000, 20);
        queue =
                callOnLoop(
                        () -> {
                            FunctionQueue created = new FunctionQueue(this, "f");
                            created.onConfiguration(
                                    Service.newBuilder()
                                            .setName("f")
                                            .setBoot(50)
                                            .setConcurrency(2)
                                            .build(),
                                    List.of(route("safe", 1)));
                            return created;
                        });
    }

    @AfterMethod
    public void close() throws Exception {
        callOnLoop(
                () -> {
                    cloud.close();
                    return null;
                });
        loop.stop();
    }

    private <T> T callOnLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.submit(
                () -> {
                    try {
                        result.complete(task.call());
                    } catch (Exception e) {
                        result.completeExceptionally(e);
                    }
                });
        return result.get(5, TimeUnit.SECONDS);
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

    /** Enqueues a request and returns its id. */
    private String request(String id, Route route) throws Exception {
        callOnLoop(
                () -> {
                    byte[] bytes =
                            ("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1);
                    Message message = Message.request();
                    message.take(bytes, 0, bytes.length);
                    PendingRequest pending =
                            new PendingRequest(
                                    id,
                                    null,
                                    message,
                                    route,
                                    loop.now(),
                                    loop.now() + route.getAim(),
                                    loop.now() + route.getAim(),
                                    true);
                    pending.expiry = loop.now() + route.getTimeout();
                    queue.enqueue(pending);
                    return null;
                });
        return id;
    }

    private void grant(String instance, String address) throws Exception {
        callOnLoop(
                () -> {
                    queue.onGrant(new Messages.SlotGrant("f", instance, address, "a", 2, 1, 0, 1));
                    return null;
                });
    }

    /** Starts an instance on the simulated platform and grants the queue a slot of it. */
    private void startInstance(String nonce) throws Exception {
        HttpResponse<String> response =
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
        Object body = Json.read(response.body());
        String address = JsonTree.text("", body, "Address");
        // The instance starts after 1 ms on the same loop; a connection attempt would also wait.
        callOnLoop(() -> null);
        CompletableFuture<Void> started = new CompletableFuture<>();
        loop.submit(() -> loop.schedule(20, () -> started.complete(null)));
        started.get(5, TimeUnit.SECONDS);
        grant(JsonTree.text("", body, "Identifier"), address);
    }

    /** An address at which nothing listens. */
    private static String unusedAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.7.2"))) {
            return "127.0.7.2:" + socket.getLocalPort();
        }
    }

    /** Waits for the next message of this type to the leader, skipping others. */
    private <T> T awaitMessage(Class<T> type) throws Exception {
        for (Object message = sentMessages.poll(5, TimeUnit.SECONDS);
                message != null;
                message = sentMessages.poll(5, TimeUnit.SECONDS)) {
            if (type.isInstance(message)) {
                return type.cast(message);
            }
        }
        throw new AssertionError("no " + type.getSimpleName() + " was sent");
    }

    private String awaitResponse() throws Exception {
        return responses.poll(5, TimeUnit.SECONDS);
    }

    @Test
    public void anUnreachableInstanceDoesNotCountAsAnAttempt() throws Exception {
        for (String kind : List.of("safe", "unsafe")) {
            request(kind, route(kind, 1));
            grant("gone-" + kind, unusedAddress());
            assertEquals(
                    awaitMessage(Messages.SlotReturn.class).condition(),
                    Messages.InstanceCondition.UNREACHABLE);
            startInstance(kind);
            assertEquals(awaitResponse(), "200 " + kind, "the unreachable instance is no attempt");
            assertEquals(
                    awaitMessage(Messages.SlotReturn.class).condition(),
                    Messages.InstanceCondition.HEALTHY,
                    "the slot is returned before the next request");
        }
    }

    @Test
    public void anUnsafeRequestIsNotRetriedOnceAByteWasSent() throws Exception {
        try (ServerSocket breakingInstance =
                new ServerSocket(0, 5, InetAddress.getByName("127.0.7.2"))) {
            Thread reader =
                    new Thread(
                            () -> {
                                try {
                                    var socket = breakingInstance.accept();
                                    socket.getInputStream().read();
                                    socket.close();
                                } catch (java.io.IOException e) {
                                    responses.add(e.toString());
                                }
                            });
            reader.start();
            request("once", route("unsafe", 2));
            grant("cuts", "127.0.7.2:" + breakingInstance.getLocalPort());
            assertEquals(
                    awaitResponse(),
                    "502 once",
                    "not reported as not executed, as it may have run");
            reader.join(5000);
            startInstance("b");
            assertEquals(callOnLoop(() -> cloud.ran).intValue(), 0);
        }
    }

    @Test
    public void aSlotIsKeptOnlyIfTheNextRequestIsExpectedSoon() throws Exception {
        request("first", route("safe", 1));
        startInstance("a");
        assertEquals(awaitResponse(), "200 first");
        double servedAt = callOnLoop(loop::now);
        assertEquals(awaitMessage(Messages.SlotReturn.class).slots(), 1);
        assertTrue(
                callOnLoop(loop::now) < servedAt + HEARTBEAT_MS / 4,
                "no other request is expected soon");
        for (int i = 0; i < 40; i++) {
            request("n" + i, route("safe", 1));
            if (i < 20) {
                startInstance("b");
            } else if (i == 20) {
                sentMessages.clear();
            }
            assertEquals(awaitResponse(), "200 n" + i);
        }
        assertNull(
                sentMessages.stream()
                        .filter(message -> message instanceof Messages.SlotReturn)
                        .findFirst()
                        .orElse(null),
                "requests arrive every 20 ms: the slot is kept");
    }

    @Test
    public void withoutAnInstanceARequestIsRejectedWithARetryTime() throws Exception {
        double arrivedAt = callOnLoop(loop::now);
        request("lost", route("safe", 1));
        assertEquals(awaitResponse(), "503 lost Retry-After: 0.05");
        assertTrue(callOnLoop(loop::now) < arrivedAt + 1500, "long before its deadline");
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
    public void answer(PendingRequest request, int status, List<String> fields, byte[] body) {
        String retryAfter =
                fields.stream()
                        .filter(field -> field.startsWith("Retry-After"))
                        .findFirst()
                        .orElse(null);
        responses.add(status + " " + request.id + (retryAfter == null ? "" : " " + retryAfter));
    }
}
