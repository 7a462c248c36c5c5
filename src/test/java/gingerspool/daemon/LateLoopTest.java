package gingerspool.daemon;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Bench;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A loop that is held up reads requests late, and counted their time from then: their clients had
 * the answer as much later than they waited.
 */
public class LateLoopTest extends Rig {
    private static final long HELD_MS = 600;
    private static final int TIME_LEFT_MS = 900;

    /** A limit of time may be passed by this on sockets. */
    private static final long SLACK_MS = 50;

    private Daemon daemon;

    @BeforeMethod
    public void start() throws Exception {
        listen();
        String known =
                "'known':{'seq':7,'whole':true,'hosts':[{'host':'s-1','dial':'127.0.0.1:"
                        + worker.getLocalPort()
                        + "','site':'a','class':'m','block':0,'health':'SERVING','share':4,"
                        + "'born_ms':0}]},";
        String node =
                ConfigurationTest.NODE
                        .replace("127.0.0.1:1'", "127.0.0.1:" + discovery.getLocalPort() + "'")
                        .replace("'settings'", known + "'settings'");
        daemon = new Daemon(new NodeConfiguration(ConfigurationTest.tree(node), Map.of()));
        daemon.loop.submit(daemon::start);
    }

    @AfterMethod
    public void stop() throws Exception {
        daemon.loop.stop();
        close();
    }

    private static String task(String id, int timeLeft) {
        return "POST /p HTTP/1.1\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Time-Left-Ms: "
                + timeLeft
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** The worker never answers, so the task is given up for its client's sake. */
    @Test
    public void aRequestThatIsReadLateIsAnsweredBeforeItsClientsExpiry() throws Exception {
        Socket kept = to(daemon.clients.address(), "GET /healthz HTTP/1.1\r\n\r\n");
        assertTrue(Bench.read(kept).endsWith("ready\n"));
        holdLoop(daemon, HELD_MS);
        long written = System.nanoTime();
        Bench.write(kept, task("i1", TIME_LEFT_MS));
        Socket fresh = to(daemon.clients.address(), task("i2", TIME_LEFT_MS));
        for (Socket client : new Socket[] {kept, fresh}) {
            assertFalse(Bench.read(client).startsWith("HTTP/1.1 200 "));
            long took = msSince(written);
            assertTrue(took <= TIME_LEFT_MS + SLACK_MS, "answered after " + took + " ms");
        }
    }

    @Test
    public void aRequestWhoseTimeIsOverIsRefusedAtOnce() throws Exception {
        holdLoop(daemon, HELD_MS);
        long written = System.nanoTime();
        Socket client = to(daemon.clients.address(), task("i1", (int) HELD_MS / 2));
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 503 "));
        long took = msSince(written);
        assertTrue(took < HELD_MS + HELD_MS / 3, "answered after " + took + " ms");
    }
}
