package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import gingerspool.dispatch.DispatcherHarness;
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
 * A scheduler in its own operating-system process that is stopped and continued by signals, or
 * whose standard error is not read. The test plays its clients, its operators, a worker and its
 * successor. The bounds leave a second or more for delays by a busy machine.
 */
public class SignalledProcessTest extends SocketTestBase {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The longest expiry of a task. */
    private static final long MAX_EXPIRY_MS = 3000;

    /** SIGKILL may come this long after SIGTERM. */
    private static final long KILL_DELAY_MS = MAX_EXPIRY_MS + 700;

    /** How long the process is stopped. */
    private static final long STOPPED_MS = 600;

    /** How long the process runs between two stops. */
    private static final long RESUMED_MS = 200;

    /** Calls that log more lines than a pipe holds: it holds 64 KiB, and a line has 100 bytes. */
    private static final int LOGGED_CALLS = 1500;

    /** A successor that has not opened its `hold` call by then is considered gone. */
    private static final long HOLD_CALL_TIMEOUT_MS = 2000;

    /** Operators are promised an answer within this time. */
    private static final long MAX_ANSWER_MS = 1000;

    /** A `hold` call without an answer after this time counts as kept open. */
    private static final int OBSERVED_MS = 500;

    /** The index after the status code in a response. */
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
            assertTrue(msSince(since) < 20_000, "not ready within 20 s");
        }
    }

    private String configuration() {
        String knownList =
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
                .replace("'settings'", knownList)
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

    /** Whether the process listens for operators and reports that it is ready. */
    private boolean isReady() throws IOException {
        try {
            return call("GET", "/v1/readyz") == 200;
        } catch (ConnectException e) {
            return false;
        }
    }

    /** Makes an operator's call and returns the status. */
    private int call(String method, String path) throws IOException {
        try (Socket s = connect(managementAddress, method + " " + path + " HTTP/1.1\r\n\r\n")) {
            sockets.remove(s);
            return Integer.parseInt(DispatcherHarness.readMessage(s).substring(9, 12));
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
     * Guards clients with a task in flight when SIGTERM is sent to a stopped process. The shutdown
     * period runs from the sending of the signal, and the task must be answered before SIGKILL.
     */
    @Test
    public void taskInFlightIsAnsweredBeforeSigkillIfStoppedAtSigterm() throws Exception {
        Socket client =
                connect(
                        clientAddress,
                        HandoverTestBase.taskRequest("i1").replace("Ms: 4000", "Ms: 5000"));
        Socket workerConnection = worker.accept();
        sockets.add(workerConnection);
        assertTrue(
                DispatcherHarness.readMessage(workerConnection)
                        .contains("X-Correlation-Id: i1\r\n"));
        DispatcherHarness.write(workerConnection, ACCEPTED);
        signal("STOP");
        signal("TERM");
        long sigtermAt = System.nanoTime();
        assertFalse(process.waitFor(STOPPED_MS, TimeUnit.MILLISECONDS));
        signal("CONT");
        DispatcherHarness.readMessage(client);
        long answeredAfter = msSince(sigtermAt);
        assertTrue(
                answeredAfter < KILL_DELAY_MS,
                "SIGKILL may come after "
                        + KILL_DELAY_MS
                        + " ms, the answer after "
                        + answeredAfter);
    }

    /**
     * Guards clients of a process that is stopped several times in a row: a request that has
     * expired when it is read must be answered at once, not after the next stop (day-to-day, seed
     * 781001: two such requests on kept connections got no answer).
     */
    @Test
    public void aRequestThatIsOverIsAnsweredBetweenTwoStops() throws Exception {
        Socket client = connect(clientAddress, "GET /healthz HTTP/1.1\r\n\r\n");
        DispatcherHarness.readMessage(client);
        signal("STOP");
        DispatcherHarness.write(
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
            assertEquals(DispatcherHarness.readMessage(client).substring(9, 12), "503");
        } catch (SocketTimeoutException e) {
            throw new AssertionError(
                    "read 600 ms after it was sent, but not answered 200 ms later", e);
        }
    }

    /** Sends a hand-over call as the successor, without waiting for the response. */
    private Socket sendHandoverCall(String name, String body) throws IOException {
        String token =
                Files.readString(folder.resolve("gingerspool-n1.json"))
                        .replaceAll("(?s).*\"token\":\"([0-9a-f]+)\".*", "$1");
        return connect(
                managementAddress,
                "POST /v1/link/"
                        + name
                        + " HTTP/1.1\r\nX-Token: "
                        + token
                        + "\r\nX-From: 127.0.0.1:"
                        + successor.getLocalPort()
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    /** Takes over from the process, as the successor that the test plays. */
    private void takeOver() throws IOException {
        String state =
                DispatcherHarness.readMessage(
                        sendHandoverCall("join", HandoverTestBase.JOIN_BODY_START + "}"));
        assertTrue(state.startsWith("HTTP/1.1 200 "), state);
        assertTrue(
                DispatcherHarness.readMessage(sendHandoverCall("take", "{\"n\":0}"))
                        .startsWith("HTTP/1.1 200 "));
    }

    /**
     * Guards suspensions and callbacks: a process is stopped while its successor opens the `hold`
     * call. When it resumes it must not consider the successor gone, which still runs.
     */
    @Test
    public void successorWhoseHoldCallIsReadLateIsNotDropped() throws Exception {
        takeOver();
        signal("STOP");
        Socket holdCall = sendHandoverCall("hold", "");
        assertFalse(process.waitFor(HOLD_CALL_TIMEOUT_MS + 100, TimeUnit.MILLISECONDS));
        signal("CONT");
        holdCall.setSoTimeout(OBSERVED_MS);
        String answer;
        try {
            answer = DispatcherHarness.readMessage(holdCall);
        } catch (SocketTimeoutException e) {
            return;
        }
        fail("the hold call is not kept open: " + answer.substring(0, STATUS_END));
    }

    /**
     * Guards operators' calls: the successor acknowledges a command while the process is stopped,
     * and the process resumes in time to confirm the call.
     */
    @Test
    public void acknowledgementReadLateCounts() throws Exception {
        takeOver();
        sendHandoverCall("hold", "");
        Socket caller = connect(managementAddress, "POST /v1/workers/s-1/suspend HTTP/1.1\r\n\r\n");
        long since = System.nanoTime();
        Socket notification = successor.accept();
        sockets.add(notification);
        assertTrue(DispatcherHarness.readMessage(notification).startsWith("POST /v1/link/word "));
        signal("STOP");
        DispatcherHarness.write(notification, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertFalse(process.waitFor(MAX_ANSWER_MS - 150 - msSince(since), TimeUnit.MILLISECONDS));
        signal("CONT");
        assertEquals(DispatcherHarness.readMessage(caller).substring(9, 12), "200");
    }

    /** A log that is not read must not delay calls. */
    @Test
    public void callsAreAnsweredThoughTheLogIsNotRead() throws Exception {
        for (int i = 0; i < LOGGED_CALLS; i++) {
            try {
                assertEquals(call("POST", "/v1/workers/s-1/suspend"), 200);
            } catch (SocketTimeoutException e) {
                throw new AssertionError("call " + i + " is not answered within 5 s", e);
            }
        }
    }

    /** A log that is not read must not keep the process from exiting. */
    @Test
    public void processExitsThoughTheLogIsNotRead() throws Exception {
        try {
            for (int i = 0; i < LOGGED_CALLS; i++) {
                call("POST", "/v1/workers/s-1/suspend");
            }
        } catch (SocketTimeoutException e) {
            // Covered by the test above.
        }
        signal("TERM");
        assertTrue(
                process.waitFor(KILL_DELAY_MS, TimeUnit.MILLISECONDS),
                "still running after SIGTERM");
    }
}
