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
 * A process that was replaced stands still in its time to leave (SIGSTOP, no processor) and goes on
 * before SIGKILL may come. When it goes on, its timers come due before the threads of the runtime
 * have read and accepted what came meanwhile: it must not close that unread. Sockets and time are
 * modelled; times are milliseconds.
 */
public class StoppedDuringShutdownTest {
    /** The longest expiry, after which SIGKILL comes no sooner than `KILL_AFTER`. */
    private static final double MAX_EXPIRY_MS = 2000;

    private static final double KILL_DELAY_MS = MAX_EXPIRY_MS + 700;

    /** As the daemon has it: 300 are spared before the kill. */
    private static final double SHUTDOWN_PERIOD_MS = KILL_DELAY_MS - 300;

    private static final double APPLY_INTERVAL_MS = ConnectionDraining.APPLY_INTERVAL_MS;

    /** The runtime's threads read and accept so long after the loop has gone on. */
    private static final double READ_DELAY_MS = 5;

    private static final String REQUEST =
            "POST /p HTTP/1.1\r\nX-Correlation-Id: i1\r\nContent-Length: 0\r\n\r\n";

    private ProcessLifecycle lifecycle;
    private ModelChannelLoop loop;
    private ClientEndpoint clients;
    private ModelServerChannel channel;
    private ConnectionDraining draining;

    /** A connection that has had an answer before the process was replaced. */
    private ModelSocketChannel kept;

    private double shutdownAt;
    private boolean mayExit;

    /** Refuses every task at once: what is tested is whether it is read at all. */
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

    private void applyPeriodically() {
        draining.apply(loop.now());
        mayExit = lifecycle.mayExit(loop.now(), false) && draining.finishIfEmpty(loop.now());
        if (!mayExit) {
            loop.schedule(APPLY_INTERVAL_MS, this::applyPeriodically);
        }
    }

    /** When the process stops and goes on, counted from SIGTERM. */
    @DataProvider
    public Object[][] stops() {
        double isOver = SHUTDOWN_PERIOD_MS;
        double isPast = SHUTDOWN_PERIOD_MS + ProcessLifecycle.REFUSAL_PERIOD_MS;
        return new Object[][] {
            {1100, 1100 + 600},
            {isOver - 500, isOver + 50},
            {isOver - 500, isPast + 10},
            {isOver + 50, isPast + 10},
            {isOver + 50, KILL_DELAY_MS - 50}
        };
    }

    /** Guards first requests that came on an accepted connection while the process stood still. */
    @Test(dataProvider = "stops")
    public void firstRequestIsRead(double stopped, double goesOn) {
        runUntil(stopped);
        ModelSocketChannel client = channel.arrive(2);
        loop.run(1);
        client.starve(true);
        client.say(REQUEST);
        stallUntil(goesOn);
        loop.run(READ_DELAY_MS);
        client.starve(false);
        loop.run(APPLY_INTERVAL_MS);
        assertAnswered(client);
    }

    /** When the process stops and goes on, around the moment when it begins to close. */
    @DataProvider
    public Object[][] stopsAroundIdleClosing() {
        return new Object[][] {{900, 1000}, {700, 1000}, {700, 1700}};
    }

    /**
     * Guards clients that go on with a connection which they have had since before the hand-over.
     * One that is closed unread costs the client a new connection and time that it may not have.
     */
    @Test(dataProvider = "stopsAroundIdleClosing")
    public void requestOnAKeptConnectionIsRead(double stopped, double goesOn) {
        runUntil(stopped);
        kept.starve(true);
        kept.say(REQUEST);
        stallUntil(goesOn);
        loop.run(READ_DELAY_MS);
        kept.starve(false);
        loop.run(APPLY_INTERVAL_MS);
        assertAnswered(kept);
    }

    /** Guards clients whose connections came while the process stood still. */
    @Test(dataProvider = "stops")
    public void queuedClientsAreAccepted(double stopped, double goesOn) {
        runUntil(stopped);
        assertTrue(clients.listens());
        channel.starve(true);
        ModelSocketChannel first = channel.arrive(2);
        ModelSocketChannel second = channel.arrive(3);
        first.say(REQUEST);
        second.say(REQUEST);
        stallUntil(goesOn);
        loop.run(READ_DELAY_MS);
        channel.starve(false);
        loop.run(APPLY_INTERVAL_MS);
        assertEquals(channel.reset.size(), 0, "connections that were reset unread");
        assertAnswered(first);
        assertAnswered(second);
    }

    /** Guards whoever ends the process: it ends by itself once it has gone on and nobody comes. */
    @Test(dataProvider = "stops")
    public void processExitsSoonAfterItResumes(double stopped, double goesOn) {
        runUntil(stopped);
        channel.arrive(2);
        stallUntil(goesOn);
        loop.run(KILL_DELAY_MS + 500 - (loop.now() - shutdownAt));
        assertTrue(mayExit);
    }

    private void runUntil(double afterSigterm) {
        loop.run(shutdownAt + afterSigterm - loop.now());
    }

    private void stallUntil(double afterSigterm) {
        loop.stall(shutdownAt + afterSigterm - loop.now());
    }

    private void assertAnswered(ModelSocketChannel client) {
        assertFalse(client.wasReset(), "closed with its request unread");
        assertTrue(client.answered.indexOf("HTTP/1.1 503 ") == 0, client.answered + "no answer");
    }
}
