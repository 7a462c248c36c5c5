package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.DispatcherHarness;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Operators' calls to a complete daemon on loopback sockets. */
public class ManagementTest extends SocketTestBase {
    private Daemon daemon;

    @BeforeMethod
    public void start() throws Exception {
        listen();
        String knownList =
                "'known':{'seq':7,'whole':true,'hosts':[{'host':'s-1','dial':'127.0.0.1:"
                        + worker.getLocalPort()
                        + "','site':'a','class':'m','block':0,'health':'SERVING','share':4,"
                        + "'born_ms':0}]},";
        String node =
                ConfigurationTest.NODE
                        .replace(
                                "127.0.0.1:1'",
                                "127.0.0.1:"
                                        + discovery.getLocalPort()
                                        + "','management':'127.0.0.1:0'")
                        .replace("'settings'", knownList + "'settings'")
                        .replace("'safe'", "'unsafe'");
        daemon = new Daemon(new NodeConfiguration(ConfigurationTest.parse(node), Map.of()));
        daemon.loop.submit(daemon::start);
    }

    @AfterMethod
    public void stop() throws IOException {
        daemon.loop.stop();
        close();
    }

    private Socket operator(String text) throws IOException {
        return connect(daemon.management.address(), text);
    }

    /** Makes an operator's call and returns the status. */
    private int call(String method, String path) throws IOException {
        Socket s = operator(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        int status = Integer.parseInt(DispatcherHarness.readMessage(s).substring(9, 12));
        assertEquals(s.getInputStream().read(), -1, "one call per connection");
        return status;
    }

    private Socket client(String text) throws IOException {
        return connect(daemon.clients.address(), text);
    }

    private static String taskRequest(String id, int timeLeft) {
        return "POST /p HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Weight-Hint: 500000\r\n"
                + "X-Time-Left-Ms: "
                + timeLeft
                + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Accepts a connection as the worker and reads a task from it. */
    private Socket acceptAtWorker() throws IOException {
        Socket s = worker.accept();
        sockets.add(s);
        s.setSoTimeout(5000);
        assertTrue(DispatcherHarness.readMessage(s).startsWith("POST /p "));
        return s;
    }

    /** Sends the callback of a finished task, on a new connection if none is given. */
    private Socket sendDoneCallback(Socket connection, String id) throws IOException {
        String body =
                "{\"id\":\"" + id + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"made\"}";
        String call =
                "POST /callback HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        Socket s = connection;
        if (s == null) {
            s = client(call);
        } else {
            DispatcherHarness.write(s, call);
        }
        assertTrue(DispatcherHarness.readMessage(s).startsWith("HTTP/1.1 200 "));
        return s;
    }

    private String healthStatus() throws IOException {
        return DispatcherHarness.readMessage(client("GET /healthz HTTP/1.1\r\n\r\n"))
                .substring(9, 12);
    }

    @DataProvider
    public Object[][] calls() {
        String w = "/v1/workers/";
        return new Object[][] {
            {"GET", "/v1/readyz", 200},
            {"POST", "/v1/readyz", 405},
            {"GET", "/v1/readyz?x=1", 200},
            {"POST", w + "s-1/suspend", 200},
            {"POST", w + "s-1/resume", 200},
            {"POST", w + "s%2D1/suspend", 200},
            {"POST", w + "s-2/suspend", 404},
            {"POST", w + "s-2/resume", 404},
            {"GET", w + "s-1/suspend", 405},
            {"POST", w + "/suspend", 404},
            {"POST", w + "suspend", 404},
            {"POST", w + "s-1/", 404},
            {"POST", w + "s-1/suspend/", 404},
            {"POST", w + "s%2/suspend", 400},
            {"POST", w + "s%/suspend", 400},
            {"POST", w + "s%zz1/suspend", 400},
            {"POST", w + "%00/suspend", 404},
            {"POST", w + "s-1%2Fsuspend", 404},
            {"POST", w + "x".repeat(200) + "/suspend", 404},
            {"POST", w + "x".repeat(20_000) + "/suspend", 431},
            {"POST", "/v1/scheduler/drain", 200},
            {"POST", "/v1/scheduler/activate", 200},
            {"GET", "/v1/scheduler/drain", 405},
            {"POST", "/v1/scheduler", 404},
            {"POST", "/p", 404},
            {"GET", "/healthz", 404},
            {"POST", "/callback", 404},
        };
    }

    @Test(dataProvider = "calls")
    public void callsAreAnsweredWithTheirStatus(String method, String path, int status)
            throws IOException {
        assertEquals(call(method, path), status);
        assertEquals(call("GET", "/v1/readyz"), 200);
    }

    @DataProvider
    public Object[][] unreadable() {
        String post = "POST /v1/scheduler/drain HTTP/1.1\r\n";
        return new Object[][] {
            {"nonsense\r\n\r\n"},
            {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n"},
            {post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"},
            {post + "Content-Length: 70000\r\n\r\n"},
            {post + "X: " + "y".repeat(17_000)},
            {post + "Content-Length: -1\r\n\r\n"},
        };
    }

    @Test(dataProvider = "unreadable")
    public void malformedCallsAreRejectedWithoutEffect(String text) throws IOException {
        assertTrue(DispatcherHarness.readMessage(operator(text)).startsWith("HTTP/1.1 4"));
        assertEquals(healthStatus(), "200");
    }

    /**
     * A truncated call must have no effect: otherwise it would be acknowledged wrongly, or drain
     * the scheduler without an operator asking for it.
     */
    @Test
    public void truncatedCallHasNoEffect() throws IOException {
        String text = "POST /v1/scheduler/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab";
        for (int i = 0; i < text.length(); i++) {
            operator(text.substring(0, i)).close();
        }
        assertEquals(healthStatus(), "200");
        Socket slow = operator(text.substring(0, 20));
        assertEquals(call("GET", "/v1/readyz"), 200);
        DispatcherHarness.write(slow, text.substring(20));
        assertTrue(DispatcherHarness.readMessage(slow).startsWith("HTTP/1.1 200 "));
        assertEquals(healthStatus(), "503");
    }

    @Test
    public void silentConnectionsDoNotDelayACall() throws IOException {
        for (int i = 0; i < 300; i++) {
            operator(i % 2 == 0 ? "" : "POST /v1/sche");
        }
        long since = System.nanoTime();
        assertEquals(call("POST", "/v1/scheduler/drain"), 200);
        assertTrue(System.nanoTime() - since < 1_000_000_000L);
        assertEquals(healthStatus(), "503");
    }

    @Test
    public void suspendedWorkerGetsNoTaskUntilResumed() throws Exception {
        Socket discoveryStream = discovery.accept();
        sockets.add(discoveryStream);
        DispatcherHarness.readMessage(discoveryStream);
        Socket kept = client(taskRequest("i1", 3000));
        Socket workerConnection = acceptAtWorker();
        DispatcherHarness.write(workerConnection, ACCEPTED);
        sendDoneCallback(null, "i1");
        DispatcherHarness.readMessage(kept);
        assertEquals(call("POST", "/v1/workers/s-1/suspend"), 200);
        assertEquals(call("POST", "/v1/workers/s-1/suspend"), 200);
        assertEquals(workerConnection.getInputStream().read(), -1, "idle connections are closed");
        String update =
                "{\"seq\":8,\"whole\":true,\"hosts\":[{\"host\":\"s-1\",\"dial\":\"127.0.0.1:"
                        + worker.getLocalPort()
                        + "\",\"health\":\"SERVING\",\"share\":4,\"born_ms\":0}]}\n";
        DispatcherHarness.write(
                discoveryStream,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(update.length())
                        + "\r\n"
                        + update
                        + "\r\n");
        assertTrue(
                DispatcherHarness.readMessage(client(taskRequest("i2", 300)))
                        .startsWith("HTTP/1.1 503 "));
        assertEquals(call("POST", "/v1/workers/s-1/resume"), 200);
        assertEquals(call("POST", "/v1/workers/s-1/resume"), 200);
        Socket last = client(taskRequest("i3", 3000));
        DispatcherHarness.write(acceptAtWorker(), ACCEPTED);
        sendDoneCallback(null, "i3");
        assertTrue(DispatcherHarness.readMessage(last).startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void taskInProgressContinuesWhenItsWorkerIsSuspended() throws Exception {
        Socket client = client(taskRequest("i1", 3000));
        DispatcherHarness.write(acceptAtWorker(), ACCEPTED);
        assertEquals(call("POST", "/v1/workers/s-1/suspend"), 200);
        sendDoneCallback(null, "i1");
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void drainedSchedulerDisconnectsClientsAndAcceptsCallbacks() throws Exception {
        Socket idle = client("GET /healthz HTTP/1.1\r\n\r\n");
        DispatcherHarness.readMessage(idle);
        Socket busy = client(taskRequest("i1", 5000));
        Socket first = acceptAtWorker();
        Socket other = client(taskRequest("i2", 5000));
        Socket latest = acceptAtWorker();
        DispatcherHarness.write(first, ACCEPTED);
        DispatcherHarness.write(latest, ACCEPTED);
        Socket callbacks = sendDoneCallback(null, "i2");
        DispatcherHarness.readMessage(other);
        assertEquals(call("POST", "/v1/scheduler/drain"), 200);
        assertEquals(healthStatus(), "503");
        assertEquals(call("GET", "/v1/readyz"), 200);
        assertEquals(idle.getInputStream().read(), -1);
        assertEquals(other.getInputStream().read(), -1);
        first.close();
        sendDoneCallback(callbacks, "i1");
        String answer = DispatcherHarness.readMessage(busy);
        assertTrue(
                answer.startsWith("HTTP/1.1 200 ") && answer.contains("Connection: close\r\n"),
                answer);
        assertEquals(busy.getInputStream().read(), -1);
        assertEquals(call("POST", "/v1/scheduler/activate"), 200);
        assertEquals(healthStatus(), "200");
        Socket afterActivation = client(taskRequest("i3", 5000));
        assertTrue(DispatcherHarness.readMessage(latest).contains("X-Correlation-Id: i3\r\n"));
        DispatcherHarness.write(latest, ACCEPTED);
        sendDoneCallback(callbacks, "i3");
        answer = DispatcherHarness.readMessage(afterActivation);
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && !answer.contains("close"), answer);
    }

    @Test
    public void noManagementListenerWithoutAnAddress() throws Exception {
        NodeConfiguration plain =
                new NodeConfiguration(ConfigurationTest.parse(ConfigurationTest.NODE), Map.of());
        assertEquals(plain.management, null);
        Daemon other = new Daemon(plain);
        assertEquals(other.management, null);
        other.loop.stop();
        assertFalse(other.clients == null);
    }
}
