package gingerspool.daemon;

import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.DispatcherHarness;
import gingerspool.peers.Folders;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Base of the hand-over tests: starts several daemons of one scheduler with the same client address
 * and hand-over folder. A test may also play another process of that scheduler itself. The methods
 * run on the test's thread; each daemon has its own event loop.
 */
abstract class HandoverTestBase extends SocketTestBase {
    /** In the order of their start; stopped after the test. */
    final List<Daemon> daemons = new ArrayList<>();

    /** Holds the hand-over file. */
    Path folder;

    @BeforeMethod
    public void prepare() throws IOException {
        listen();
        folder = Files.createTempDirectory("handover");
    }

    @AfterMethod
    public void stop() throws Exception {
        // In the order of their start: a predecessor that is still running would serve again.
        for (Daemon d : daemons) {
            d.loop.stop();
        }
        for (Daemon d : daemons) {
            // A pending write would recreate the hand-over file after its folder was removed.
            d.fileExecutor.shutdown();
            assertTrue(d.fileExecutor.awaitTermination(10, TimeUnit.SECONDS));
        }
        daemons.clear();
        close();
        Folders.remove(folder);
    }

    /**
     * Starts a daemon that listens for clients at this port, or at a free one if it is 0.
     *
     * @param knowsWorker whether the daemon's list of workers holds the test's worker or is empty
     */
    Daemon start(int port, boolean knowsWorker) throws Exception {
        return start(port, knowsWorker, "'dueTimeMs':100", 250);
    }

    /**
     * The same with other settings.
     *
     * @param dueTimeSetting replaces the setting of the profile's due time in the configuration
     * @param connectTimeoutMs how long the daemon may take to connect to a peer or a worker
     */
    Daemon start(int port, boolean knowsWorker, String dueTimeSetting, int connectTimeoutMs)
            throws Exception {
        String hosts =
                !knowsWorker
                        ? ""
                        : "{'host':'s-1','dial':'127.0.0.1:"
                                + worker.getLocalPort()
                                + "','site':'a','class':'m','block':0,"
                                + "'health':'SERVING','share':4,'born_ms':0}";
        String node =
                ConfigurationTest.NODE
                        .replace("127.0.0.1:0'", "127.0.0.1:" + port + "'")
                        .replace(
                                "127.0.0.1:1'",
                                "127.0.0.1:"
                                        + discovery.getLocalPort()
                                        + "','management':'127.0.0.1:0'")
                        .replace(
                                "'settings'",
                                "'known':{'seq':7,'whole':true,'hosts':[" + hosts + "]},'settings'")
                        .replace("'safe'", "'unsafe'")
                        .replace("'dueTimeMs':100", dueTimeSetting)
                        .replace(
                                "'maxOpen':9",
                                "'maxOpen':9,'connectTimeoutMs':" + connectTimeoutMs);
        Daemon d =
                new Daemon(
                        new NodeConfiguration(
                                ConfigurationTest.parse(node),
                                Map.of("TMPDIR", folder.toString())));
        daemons.add(d);
        d.loop.submit(d::start);
        return d;
    }

    static int clientPort(Daemon d) throws IOException {
        return ((InetSocketAddress) d.clients.address()).getPort();
    }

    /** Makes an operator's call and returns the status. */
    int call(Daemon d, String method, String path) throws IOException {
        try (Socket s =
                connect(d.management.address(), method + " " + path + " HTTP/1.1\r\n\r\n")) {
            // Closed here: a test that polls would otherwise keep a descriptor for each call.
            sockets.remove(s);
            return Integer.parseInt(DispatcherHarness.readMessage(s).substring(9, 12));
        }
    }

    /** Polls until the daemon is ready; the time-out is far longer than this takes. */
    void awaitReady(Daemon d) throws IOException {
        long since = System.nanoTime();
        while (call(d, "GET", "/v1/readyz") != 200) {
            assertTrue(System.nanoTime() - since < 10_000_000_000L, "not ready within 10 s");
        }
    }

    static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Polls until clients are served, as there may be no listener for a moment. */
    void awaitServing(int port) throws IOException {
        long since = System.nanoTime();
        for (String status = ""; !status.equals("200"); ) {
            try {
                status = healthStatus(port);
            } catch (ConnectException e) {
                assertTrue(
                        System.nanoTime() - since < 10_000_000_000L,
                        "no process listens within 10 s");
            }
        }
    }

    /** A client's request with 4 s left. */
    static String taskRequest(String id) {
        return "POST /p HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Weight-Hint: 500000\r\n"
                + "X-Time-Left-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Runs this on the daemon's event loop and returns its result. */
    static <T> T onLoop(Daemon d, Supplier<T> query) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        d.loop.submit(() -> result.complete(query.get()));
        return result.get();
    }

    /** Accepts a connection as the worker, reads this task from it and accepts the task. */
    Socket acceptAtWorker(String id) throws IOException {
        Socket s = worker.accept();
        sockets.add(s);
        s.setSoTimeout(5000);
        assertTrue(DispatcherHarness.readMessage(s).contains("X-Correlation-Id: " + id + "\r\n"));
        DispatcherHarness.write(s, ACCEPTED);
        return s;
    }

    /** The status of a client's health check. */
    String healthStatus(int port) throws IOException {
        try (Socket s =
                connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        "GET /healthz HTTP/1.1\r\n\r\n")) {
            return DispatcherHarness.readMessage(s).substring(9, 12);
        }
    }

    /**
     * Polls until the daemon's listener is closed. A client that connects while it closes may be
     * reset.
     */
    void awaitListenerClosed(Daemon d) throws IOException {
        while (d.clients.listens()) {
            call(d, "GET", "/v1/readyz");
        }
    }

    /** Makes a hand-over call as another process does, and returns the response. */
    String handoverCall(Daemon daemon, String token, String path, String body) throws IOException {
        return DispatcherHarness.readMessage(sendHandoverCall(daemon, token, path, body));
    }

    /** Sends a hand-over call without waiting for the response. */
    Socket sendHandoverCall(Daemon daemon, String token, String path, String body)
            throws IOException {
        return connect(
                daemon.management.address(),
                "POST /v1/link/"
                        + path
                        + " HTTP/1.1\r\nX-Token: "
                        + token
                        + "\r\nX-From: 127.0.0.1:"
                        + discovery.getLocalPort()
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    /** The token that hand-over calls to the serving process must carry. */
    String tokenInHandoverFile() throws IOException {
        return Files.readString(folder.resolve("gingerspool-n1.json"))
                .replaceAll("(?s).*\"token\":\"([0-9a-f]+)\".*", "$1");
    }

    /** The body of a `join` call without its closing brace, so that fields can be added. */
    static final String JOIN_BODY_START = "{\"v\":1,\"token\":\"of the successor\",\"ask\":1";

    /** Takes over from this daemon, as another process that the test plays. */
    void takeOverFrom(Daemon predecessor) throws IOException {
        String token = tokenInHandoverFile();
        assertTrue(
                handoverCall(predecessor, token, "join", JOIN_BODY_START + "}")
                        .startsWith("HTTP/1.1 200 "));
        assertTrue(
                handoverCall(predecessor, token, "take", "{\"n\":0}").startsWith("HTTP/1.1 200 "));
    }
}
