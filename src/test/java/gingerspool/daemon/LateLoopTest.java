package gingerspool.daemon;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.DispatcherHarness;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Requests that a blocked loop reads late. Guards against counting a request's time from when it is
 * read: its client then got the answer later than it waited for, by as much as the loop was
 * blocked.
 */
public class LateLoopTest extends SocketTestBase {
    private static final long BLOCKED_MS = 600;
    private static final int TIME_LEFT_MS = 900;

    /** How much an answer on sockets may exceed its time limit, in milliseconds. */
    private static final long SLACK_MS = 50;

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
                        .replace("127.0.0.1:1'", "127.0.0.1:" + discovery.getLocalPort() + "'")
                        .replace("'settings'", knownList + "'settings'");
        daemon = new Daemon(new NodeConfiguration(ConfigurationTest.parse(node), Map.of()));
        daemon.loop.submit(daemon::start);
    }

    @AfterMethod
    public void stop() throws Exception {
        daemon.loop.stop();
        close();
    }

    private static String taskRequest(String id, int timeLeft) {
        return "POST /p HTTP/1.1\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Time-Left-Ms: "
                + timeLeft
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** The worker never answers, so the task is abandoned before its client stops waiting. */
    @Test
    public void requestReadLateIsAnsweredBeforeItsExpiry() throws Exception {
        Socket kept = connect(daemon.clients.address(), "GET /healthz HTTP/1.1\r\n\r\n");
        assertTrue(DispatcherHarness.readMessage(kept).endsWith("ready\n"));
        blockLoop(daemon, BLOCKED_MS);
        long written = System.nanoTime();
        DispatcherHarness.write(kept, taskRequest("i1", TIME_LEFT_MS));
        Socket fresh = connect(daemon.clients.address(), taskRequest("i2", TIME_LEFT_MS));
        for (Socket client : new Socket[] {kept, fresh}) {
            assertFalse(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 200 "));
            long took = msSince(written);
            assertTrue(took <= TIME_LEFT_MS + SLACK_MS, "answered after " + took + " ms");
        }
    }

    @Test
    public void expiredRequestIsRefusedAtOnce() throws Exception {
        blockLoop(daemon, BLOCKED_MS);
        long written = System.nanoTime();
        Socket client = connect(daemon.clients.address(), taskRequest("i1", (int) BLOCKED_MS / 2));
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 503 "));
        long took = msSince(written);
        assertTrue(took < BLOCKED_MS + BLOCKED_MS / 3, "answered after " + took + " ms");
    }
}
