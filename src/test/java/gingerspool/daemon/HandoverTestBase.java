package gingerspool.daemon;

import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Bench;
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
 * Daemons of one scheduler beside each other, on one address and one folder, and another process
 * that the test plays itself.
 */
abstract class HandoverTestBase extends SocketTestBase {
    final List<Daemon> daemons = new ArrayList<>();
    Path folder;

    @BeforeMethod
    public void prepare() throws IOException {
        listen();
        folder = Files.createTempDirectory("handover");
    }

    @AfterMethod
    public void stop() throws Exception {
        // The first first, so that it does not take back what the next one had.
        for (Daemon d : daemons) {
            d.loop.stop();
        }
        for (Daemon d : daemons) {
            // A file on its way to the disk would come after its folder is gone.
            d.fileExecutor.shutdown();
            assertTrue(d.fileExecutor.awaitTermination(10, TimeUnit.SECONDS));
        }
        daemons.clear();
        close();
        Folders.remove(folder);
    }

    /**
     * Starts a process that listens for clients at this port; the list that it knows may be empty.
     */
    Daemon start(int port, boolean knowsWorker) throws Exception {
        return start(port, knowsWorker, "'dueTimeMs':100", 250);
    }

    Daemon start(int port, boolean knowsWorker, String due, int within) throws Exception {
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
                        .replace("'dueTimeMs':100", due)
                        .replace("'maxOpen':9", "'maxOpen':9,'connectTimeoutMs':" + within);
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

    int call(Daemon d, String method, String path) throws IOException {
        try (Socket s =
                connect(d.management.address(), method + " " + path + " HTTP/1.1\r\n\r\n")) {
            // Guards tests that ask until something holds: each call would keep a descriptor.
            sockets.remove(s);
            return Integer.parseInt(Bench.read(s).substring(9, 12));
        }
    }

    /** Asks until it says yes; the time-out is far beyond what is needed. */
    void awaitReady(Daemon d) throws IOException {
        long since = System.nanoTime();
        while (call(d, "GET", "/v1/readyz") != 200) {
            assertTrue(System.nanoTime() - since < 10_000_000_000L, "not ready in 10 s");
        }
    }

    static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards tests against the moment between two listeners: asks until clients are served. */
    void awaitServing(int port) throws IOException {
        long since = System.nanoTime();
        for (String status = ""; !status.equals("200"); ) {
            try {
                status = healthStatus(port);
            } catch (ConnectException e) {
                assertTrue(System.nanoTime() - since < 10_000_000_000L, "nobody listens for 10 s");
            }
        }
    }

    static String taskRequest(String id) {
        return "POST /p HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Weight-Hint: 500000\r\n"
                + "X-Time-Left-Ms: 4000\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** What this says in a turn of the process. */
    static <T> T onLoop(Daemon d, Supplier<T> what) throws Exception {
        CompletableFuture<T> told = new CompletableFuture<>();
        d.loop.submit(() -> told.complete(what.get()));
        return told.get();
    }

    Socket acceptAtWorker(String id) throws IOException {
        Socket s = worker.accept();
        sockets.add(s);
        s.setSoTimeout(5000);
        assertTrue(Bench.read(s).contains("X-Correlation-Id: " + id + "\r\n"));
        Bench.write(s, ACCEPTED);
        return s;
    }

    String healthStatus(int port) throws IOException {
        try (Socket s =
                connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        "GET /healthz HTTP/1.1\r\n\r\n")) {
            return Bench.read(s).substring(9, 12);
        }
    }

    /** Guards tests against the reset that a client may meet at the very moment of closing. */
    void awaitListenerClosed(Daemon d) throws IOException {
        while (d.clients.listens()) {
            call(d, "GET", "/v1/readyz");
        }
    }

    /** A call of the hand-over, as another process makes it; its answer, or what came of it. */
    String handoverCall(Daemon to, String secret, String path, String body) throws IOException {
        return Bench.read(sendHandoverCall(to, secret, path, body));
    }

    Socket sendHandoverCall(Daemon to, String secret, String path, String body) throws IOException {
        return connect(
                to.management.address(),
                "POST /v1/link/"
                        + path
                        + " HTTP/1.1\r\nX-Token: "
                        + secret
                        + "\r\nX-From: 127.0.0.1:"
                        + discovery.getLocalPort()
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    String tokenInHandoverFile() throws IOException {
        return Files.readString(folder.resolve("gingerspool-n1.json"))
                .replaceAll("(?s).*\"token\":\"([0-9a-f]+)\".*", "$1");
    }

    static final String JOIN_BODY_START = "{\"v\":1,\"token\":\"of the successor\",\"ask\":1";

    /** Another process, played by the test, has the clients of this one. */
    void takeOverFrom(Daemon first) throws IOException {
        String secret = tokenInHandoverFile();
        assertTrue(
                handoverCall(first, secret, "join", JOIN_BODY_START + "}")
                        .startsWith("HTTP/1.1 200 "));
        assertTrue(handoverCall(first, secret, "take", "{\"n\":0}").startsWith("HTTP/1.1 200 "));
    }
}
