package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.RequestHandlerStub;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.ModelChannelLoop;
import gingerspool.wire.ModelServerChannel;
import gingerspool.wire.ModelSocketChannel;
import gingerspool.wire.TaskRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A superseded process that is stopped during its shutdown (by SIGSTOP or for lack of a processor)
 * and resumes before SIGKILL may come. Its timers then come due before the threads of the runtime
 * have accepted the connections and read the requests that arrived meanwhile: the process must not
 * close these connections unread. Sockets and time are modelled; times are milliseconds.
 */
public class StoppedDuringShutdownTest {
    /** The longest expiry of a task. */
    private static final double MAX_EXPIRY_MS = 2000;

    /** SIGKILL comes no sooner than this after SIGTERM. */
    private static final double KILL_DELAY_MS = MAX_EXPIRY_MS + 700;

    /** As in the daemon, which keeps 300 ms in reserve before SIGKILL. */
    private static final double SHUTDOWN_PERIOD_MS = KILL_DELAY_MS - 300;

    private static final double APPLY_INTERVAL_MS = ConnectionDraining.APPLY_INTERVAL_MS;

    /** How long after the loop has resumed the runtime's threads accept and read. */
    private static final double READ_DELAY_MS = 5;

    private static final String REQUEST =
            "POST /p HTTP/1.1\r\nX-Correlation-Id: i1\r\nContent-Length: 0\r\n\r\n";

    private ProcessLifecycle lifecycle;
    private ModelChannelLoop loop;
    private ClientEndpoint clients;
    private ModelServerChannel channel;
    private ConnectionDraining draining;

    /** A connection that got an answer before the process was superseded. */
    private ModelSocketChannel kept;

    /** When SIGTERM came. */
    private double shutdownAt;

    private boolean mayExit;

    /** Refuses every task at once: the tests are about whether its request is read at all. */
    private static final class RefusedTasks extends RequestHandlerStub
            implements ConnectionDraining.Tasks {
        @Override
        public void arrived(TaskRequest request) {
            ClientEndpoint.bounced(request.client(), 0);
        }

        @Override
        public int unanswered() {
            return 0;
        }

        @Override
        public void abandonAll() {}
    }

    @BeforeMethod
    public void startShutdown() throws IOException {
        loop = new ModelChannelLoop();
        lifecycle = new ProcessLifecycle();
        RefusedTasks tasks = new RefusedTasks();
        clients = new ClientEndpoint(loop, new InetSocketAddress("127.0.0.1", 1), true, 100, tasks);
        clients.listen();
        clients.open();
        channel = loop.listening;
        draining = new ConnectionDraining(lifecycle, clients, tasks);
        mayExit = false;
        lifecycle.started();
        applyPeriodically();
        kept = channel.arrive(1);
        loop.run(1);
        kept.say("GET /healthz HTTP/1.1\r\n\r\n");
        loop.run(APPLY_INTERVAL_MS / 2);
        kept.answered.setLength(0);
        lifecycle.superseded(loop.now());
        shutdownAt = loop.now();
        lifecycle.shutDown(shutdownAt, SHUTDOWN_PERIOD_MS);
    }

    /** What the daemon does on its timer, until the process may exit. */
    private void applyPeriodically() {
        draining.apply(loop.now());
        mayExit = lifecycle.mayExit(loop.now(), false) && draining.finishIfEmpty(loop.now());
        if (!mayExit) {
            loop.schedule(APPLY_INTERVAL_MS, this::applyPeriodically);
        }
    }

    /** When the process is stopped and when it resumes, counted from SIGTERM. */
    @DataProvider
    public Object[][] stops() {
        double periodEnd = SHUTDOWN_PERIOD_MS;
        double refusalEnd = SHUTDOWN_PERIOD_MS + ProcessLifecycle.REFUSAL_PERIOD_MS;
        return new Object[][] {
            {1100, 1100 + 600},
            {periodEnd - 500, periodEnd + 50},
            {periodEnd - 500, refusalEnd + 10},
            {periodEnd + 50, refusalEnd + 10},
            {periodEnd + 50, KILL_DELAY_MS - 50}
        };
    }

    /** Guards first requests that arrive on an accepted connection while the process is stopped. */
    @Test(dataProvider = "stops")
    public void firstRequestIsRead(double stoppedAt, double resumedAt) {
        runUntil(stoppedAt);
        ModelSocketChannel client = channel.arrive(2);
        loop.run(1);
        client.starve(true);
        client.say(REQUEST);
        stallUntil(resumedAt);
        loop.run(READ_DELAY_MS);
        client.starve(false);
        loop.run(APPLY_INTERVAL_MS);
        assertAnswered(client);
    }

    /** The same, around the time when the process begins to close idle connections. */
    @DataProvider
    public Object[][] stopsAroundIdleClosing() {
        return new Object[][] {{900, 1000}, {700, 1000}, {700, 1700}};
    }

    /**
     * Guards clients that keep using a connection from before the hand-over. If it is closed with a
     * request unread, the client needs a new connection and may run out of time.
     */
    @Test(dataProvider = "stopsAroundIdleClosing")
    public void requestOnAKeptConnectionIsRead(double stoppedAt, double resumedAt) {
        runUntil(stoppedAt);
        kept.starve(true);
        kept.say(REQUEST);
        stallUntil(resumedAt);
        loop.run(READ_DELAY_MS);
        kept.starve(false);
        loop.run(APPLY_INTERVAL_MS);
        assertAnswered(kept);
    }

    /** Guards clients whose connections arrive in the accept queue while the process is stopped. */
    @Test(dataProvider = "stops")
    public void queuedClientsAreAccepted(double stoppedAt, double resumedAt) {
        runUntil(stoppedAt);
        assertTrue(clients.listens());
        channel.starve(true);
        ModelSocketChannel first = channel.arrive(2);
        ModelSocketChannel second = channel.arrive(3);
        first.say(REQUEST);
        second.say(REQUEST);
        stallUntil(resumedAt);
        loop.run(READ_DELAY_MS);
        channel.starve(false);
        loop.run(APPLY_INTERVAL_MS);
        assertEquals(channel.reset.size(), 0, "connections that were reset unread");
        assertAnswered(first);
        assertAnswered(second);
    }

    /** Without further clients the process must exit soon after it resumes, without SIGKILL. */
    @Test(dataProvider = "stops")
    public void processExitsSoonAfterItResumes(double stoppedAt, double resumedAt) {
        runUntil(stoppedAt);
        channel.arrive(2);
        stallUntil(resumedAt);
        loop.run(KILL_DELAY_MS + 500 - (loop.now() - shutdownAt));
        assertTrue(mayExit);
    }

    private void runUntil(double afterSigterm) {
        loop.run(shutdownAt + afterSigterm - loop.now());
    }

    /** Stops the process until then. */
    private void stallUntil(double afterSigterm) {
        loop.stall(shutdownAt + afterSigterm - loop.now());
    }

    private void assertAnswered(ModelSocketChannel client) {
        assertFalse(client.wasReset(), "closed with its request unread");
        assertTrue(
                client.answered.indexOf("HTTP/1.1 503 ") == 0, client.answered + " is no refusal");
    }
}
