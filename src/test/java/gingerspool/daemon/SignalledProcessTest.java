package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import gingerspool.dispatch.Bench;
import gingerspool.peers.Folders;
import gingerspool.peers.Ports;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A scheduler as a process of its own, which is stopped and continued by signals, or whose standard
 * error nobody reads. What has to hold is far from what a busy machine adds: a second or more.
 */
public class SignalledProcessTest extends SocketTestBase {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The longest expiry counts for so much, in milliseconds. */
    private static final long MAX_EXPIRY_MS = 3000;

    /** SIGKILL may come so long after SIGTERM, in milliseconds. */
    private static final long KILL_DELAY_MS = MAX_EXPIRY_MS + 700;

    /** The process stands still for so long with SIGTERM waiting for it, in milliseconds. */
    private static final long STOPPED_MS = 600;

    /** It goes on for so long between two stops, in milliseconds. */
    private static final long RESUMED_MS = 200;

    /** More lines than any pipe holds: 64 KiB and 100 bytes each. */
    private static final int LOGGED_CALLS = 1500;

    /** A successor is taken for gone where it holds no call by then, in milliseconds. */
    private static final long HOLD_CALL_TIMEOUT_MS = 2000;

    /** Operators are owed an answer by then, in milliseconds. */
    private static final long MAX_ANSWER_MS = 1000;

    /** A call that has no answer by then is kept open, in milliseconds. */
    private static final int OBSERVED_MS = 500;

    /** So much of an answer tells its status. */
    private static final int STATUS_END = 12;

    private ServerSocket successor;
    private Path folder;
    private Process process;
    private InetSocketAddress clientAddress;
    private InetSocketAddress managementAddress;

    @BeforeMethod
    public void start() throws Exception {
        listen();
        successor = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        folder = Files.createTempDirectory("signalled");
        clientAddress = new InetSocketAddress("127.0.0.1", Ports.free("127.0.0.1"));
        managementAddress = new InetSocketAddress("127.0.0.1", Ports.free("127.0.0.1"));
        Files.writeString(folder.resolve("node.json"), configuration());
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gingerspool.Main",
                        "serve");
        builder.environment().put("GW_CONFIG", folder.resolve("node.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        long since = System.nanoTime();
        while (!isReady()) {
            assertTrue(msSince(since) < 20_000, "not ready in 20 s");
        }
    }

    private String configuration() {
        String known =
                "'known':{'seq':7,'whole':true,'hosts':[{'host':'s-1','dial':'127.0.0.1:"
                        + worker.getLocalPort()
                        + "','site':'a','class':'m','block':0,'health':'SERVING','share':4,"
                        + "'born_ms':0}]},'settings'";
        return ConfigurationTest.NODE
                .replace("127.0.0.1:0'", "127.0.0.1:" + clientAddress.getPort() + "'")
                .replace(
                        "127.0.0.1:1'",
                        "127.0.0.1:"
                                + discovery.getLocalPort()
                                + "','management':'127.0.0.1:"
                                + managementAddress.getPort()
                                + "'")
                .replace("'settings'", known)
                .replace("'safe'", "'unsafe'")
                .replace('\'', '"');
    }

    @AfterMethod
    public void end() throws Exception {
        process.destroyForcibly().waitFor();
        close();
        successor.close();
        Folders.remove(folder);
    }

    private boolean isReady() throws IOException {
        try {
            return call("GET", "/v1/readyz") == 200;
        } catch (ConnectException e) {
            return false;
        }
    }

    private int call(String method, String path) throws IOException {
        try (Socket s = connect(managementAddress, method + " " + path + " HTTP/1.1\r\n\r\n")) {
            sockets.remove(s);
            return Integer.parseInt(Bench.read(s).substring(9, 12));
        }
    }

    private void signal(String name) throws Exception {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(kill.waitFor(), 0);
    }

    private static long msSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }

    /**
     * Guards a client whose task is out: SIGTERM comes while the process stands still, and the time
     * that it leaves runs from when it was sent. What is out has its answer before SIGKILL.
     */
    @Test
    public void taskInFlightIsAnsweredBeforeSigkillIfStoppedAtSigterm() throws Exception {
        Socket client =
                connect(
                        clientAddress,
                        HandoverTestBase.taskRequest("i1").replace("Ms: 4000", "Ms: 5000"));
        Socket taken = worker.accept();
        sockets.add(taken);
        assertTrue(Bench.read(taken).contains("X-Correlation-Id: i1\r\n"));
        Bench.write(taken, ACCEPTED);
        signal("STOP");
        signal("TERM");
        long terminated = System.nanoTime();
        assertFalse(process.waitFor(STOPPED_MS, TimeUnit.MILLISECONDS));
        signal("CONT");
        Bench.read(client);
        long answeredAfter = msSince(terminated);
        assertTrue(
                answeredAfter < KILL_DELAY_MS,
                "SIGKILL may come after "
                        + KILL_DELAY_MS
                        + " ms, the answer after "
                        + answeredAfter);
    }

    /**
     * Guards clients of a process that is stopped several times in a row: a request whose time is
     * over when it is read gets its answer then, not after the next stop (day-to-day, seed 781001:
     * two of them on kept connections got none at all).
     */
    @Test
    public void aRequestThatIsOverIsAnsweredBetweenTwoStops() throws Exception {
        Socket client = connect(clientAddress, "GET /healthz HTTP/1.1\r\n\r\n");
        Bench.read(client);
        signal("STOP");
        Bench.write(
                client,
                HandoverTestBase.taskRequest("i1")
                        .replace("Ms: 4000", "Ms: 500")
                        .replace("500000", "10000"));
        assertFalse(process.waitFor(STOPPED_MS, TimeUnit.MILLISECONDS));
        signal("CONT");
        assertFalse(process.waitFor(RESUMED_MS, TimeUnit.MILLISECONDS));
        signal("STOP");
        client.setSoTimeout(1);
        try {
            assertEquals(Bench.read(client).substring(9, 12), "503");
        } catch (SocketTimeoutException e) {
            throw new AssertionError("read 600 ms after its sending, not answered 200 ms later", e);
        }
    }

    private Socket sendHandoverCall(String name, String body) throws IOException {
        String secret =
                Files.readString(folder.resolve("gingerspool-n1.json"))
                        .replaceAll("(?s).*\"token\":\"([0-9a-f]+)\".*", "$1");
        return connect(
                managementAddress,
                "POST /v1/link/"
                        + name
                        + " HTTP/1.1\r\nX-Token: "
                        + secret
                        + "\r\nX-From: 127.0.0.1:"
                        + successor.getLocalPort()
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    /** The test is the successor, and has the clients. */
    private void takeOver() throws IOException {
        String taken = Bench.read(sendHandoverCall("join", HandoverTestBase.JOIN_BODY_START + "}"));
        assertTrue(taken.startsWith("HTTP/1.1 200 "), taken);
        assertTrue(Bench.read(sendHandoverCall("take", "{\"n\":0}")).startsWith("HTTP/1.1 200 "));
    }

    /**
     * Guards bans and call-backs: a process stands still while its successor, which lives, begins
     * to hold its call open; it goes on and must not take the successor for gone.
     */
    @Test
    public void successorWhoseHoldCallIsReadLateIsNotDropped() throws Exception {
        takeOver();
        signal("STOP");
        Socket held = sendHandoverCall("hold", "");
        assertFalse(process.waitFor(HOLD_CALL_TIMEOUT_MS + 100, TimeUnit.MILLISECONDS));
        signal("CONT");
        held.setSoTimeout(OBSERVED_MS);
        String answer;
        try {
            answer = Bench.read(held);
        } catch (SocketTimeoutException e) {
            return;
        }
        fail("its call is not kept open: " + answer.substring(0, STATUS_END));
    }

    /**
     * Guards operators: the successor has acknowledged their call, and the process, which stood
     * still, goes on in time to say so.
     */
    @Test
    public void acknowledgementReadLateCounts() throws Exception {
        takeOver();
        sendHandoverCall("hold", "");
        Socket caller = connect(managementAddress, "POST /v1/workers/s-1/suspend HTTP/1.1\r\n\r\n");
        long since = System.nanoTime();
        Socket told = successor.accept();
        sockets.add(told);
        assertTrue(Bench.read(told).startsWith("POST /v1/link/word "));
        signal("STOP");
        Bench.write(told, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertFalse(process.waitFor(MAX_ANSWER_MS - 150 - msSince(since), TimeUnit.MILLISECONDS));
        signal("CONT");
        assertEquals(Bench.read(caller).substring(9, 12), "200");
    }

    /** Guards operators and clients: a log that nobody reads holds no call up. */
    @Test
    public void callsAreAnsweredThoughTheLogIsNotRead() throws Exception {
        for (int i = 0; i < LOGGED_CALLS; i++) {
            try {
                assertEquals(call("POST", "/v1/workers/s-1/suspend"), 200);
            } catch (SocketTimeoutException e) {
                throw new AssertionError("call " + i + " has no answer after 5 s", e);
            }
        }
    }

    /** Guards whoever ends it: a log that nobody reads does not keep the process. */
    @Test
    public void processExitsThoughTheLogIsNotRead() throws Exception {
        try {
            for (int i = 0; i < LOGGED_CALLS; i++) {
                call("POST", "/v1/workers/s-1/suspend");
            }
        } catch (SocketTimeoutException e) {
            // What the test above is about.
        }
        signal("TERM");
        assertTrue(process.waitFor(KILL_DELAY_MS, TimeUnit.MILLISECONDS), "alive after SIGTERM");
    }
}
