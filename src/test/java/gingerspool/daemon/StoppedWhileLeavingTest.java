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
public class StoppedWhileLeavingTest {
    /** The longest expiry, after which SIGKILL comes no sooner than `KILL_AFTER`. */
    private static final double LONGEST_EXPIRY = 2000;

    private static final double KILL_AFTER = LONGEST_EXPIRY + 700;

    /** As the daemon has it: 300 are spared before the kill. */
    private static final double TIME_TO_LEAVE = KILL_AFTER - 300;

    private static final double LOOK_EVERY = ConnectionDraining.APPLY_INTERVAL_MS;

    /** The runtime's threads read and accept so long after the loop has gone on. */
    private static final double READ_AFTER = 5;

    private static final String REQUEST =
            "POST /p HTTP/1.1\r\nX-Correlation-Id: i1\r\nContent-Length: 0\r\n\r\n";

    private ProcessLifecycle lifecycle;
    private ModelChannelLoop loop;
    private ClientEndpoint clients;
    private ModelServerChannel channel;
    private ConnectionDraining draining;

    /** A connection that has had an answer before the process was replaced. */
    private ModelSocketChannel kept;

    private double leavingAt;
    private boolean isEmptied;

    /** Refuses every task at once: what is tested is whether it is read at all. */
    private static final class NoWorkers extends RequestHandlerStub
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
    public void leave() throws IOException {
        loop = new ModelChannelLoop();
        lifecycle = new ProcessLifecycle();
        NoWorkers tasks = new NoWorkers();
        clients = new ClientEndpoint(loop, new InetSocketAddress("127.0.0.1", 1), true, 100, tasks);
        clients.listen();
        clients.open();
        channel = loop.listening;
        draining = new ConnectionDraining(lifecycle, clients, tasks);
        isEmptied = false;
        lifecycle.started();
        look();
        kept = channel.arrive(1);
        loop.run(1);
        kept.say("GET /healthz HTTP/1.1\r\n\r\n");
        loop.run(LOOK_EVERY / 2);
        kept.answered.setLength(0);
        lifecycle.superseded(loop.now());
        leavingAt = loop.now();
        lifecycle.shutDown(leavingAt, TIME_TO_LEAVE);
    }

    private void look() {
        draining.apply(loop.now());
        isEmptied = lifecycle.mayExit(loop.now(), false) && draining.finishIfEmpty(loop.now());
        if (!isEmptied) {
            loop.schedule(LOOK_EVERY, this::look);
        }
    }

    /** When the process stops and goes on, counted from SIGTERM. */
    @DataProvider
    public Object[][] stops() {
        double isOver = TIME_TO_LEAVE;
        double isPast = TIME_TO_LEAVE + ProcessLifecycle.REFUSAL_PERIOD_MS;
        return new Object[][] {
            {1100, 1100 + 600},
            {isOver - 500, isOver + 50},
            {isOver - 500, isPast + 10},
            {isOver + 50, isPast + 10},
            {isOver + 50, KILL_AFTER - 50}
        };
    }

    /** Guards first requests that came on an accepted connection while the process stood still. */
    @Test(dataProvider = "stops")
    public void aFirstRequestIsRead(double stopped, double goesOn) {
        runUntil(stopped);
        ModelSocketChannel client = channel.arrive(2);
        loop.run(1);
        client.starve(true);
        client.say(REQUEST);
        standStillUntil(goesOn);
        loop.run(READ_AFTER);
        client.starve(false);
        loop.run(LOOK_EVERY);
        assertAnswered(client);
    }

    /** When the process stops and goes on, around the moment when it begins to close. */
    @DataProvider
    public Object[][] stopsAtClosing() {
        return new Object[][] {{900, 1000}, {700, 1000}, {700, 1700}};
    }

    /**
     * Guards clients that go on with a connection which they have had since before the hand-over.
     * One that is closed unread costs the client a new connection and time that it may not have.
     */
    @Test(dataProvider = "stopsAtClosing")
    public void aRequestOnAKeptConnectionIsRead(double stopped, double goesOn) {
        runUntil(stopped);
        kept.starve(true);
        kept.say(REQUEST);
        standStillUntil(goesOn);
        loop.run(READ_AFTER);
        kept.starve(false);
        loop.run(LOOK_EVERY);
        assertAnswered(kept);
    }

    /** Guards clients whose connections came while the process stood still. */
    @Test(dataProvider = "stops")
    public void clientsInTheQueueAreTaken(double stopped, double goesOn) {
        runUntil(stopped);
        assertTrue(clients.listens());
        channel.starve(true);
        ModelSocketChannel first = channel.arrive(2);
        ModelSocketChannel second = channel.arrive(3);
        first.say(REQUEST);
        second.say(REQUEST);
        standStillUntil(goesOn);
        loop.run(READ_AFTER);
        channel.starve(false);
        loop.run(LOOK_EVERY);
        assertEquals(channel.reset.size(), 0, "connections that were reset unread");
        assertAnswered(first);
        assertAnswered(second);
    }

    /** Guards whoever ends the process: it ends by itself once it has gone on and nobody comes. */
    @Test(dataProvider = "stops")
    public void itEndsSoonAfterItHasGoneOn(double stopped, double goesOn) {
        runUntil(stopped);
        channel.arrive(2);
        standStillUntil(goesOn);
        loop.run(KILL_AFTER + 500 - (loop.now() - leavingAt));
        assertTrue(isEmptied);
    }

    private void runUntil(double afterSigterm) {
        loop.run(leavingAt + afterSigterm - loop.now());
    }

    private void standStillUntil(double afterSigterm) {
        loop.stall(leavingAt + afterSigterm - loop.now());
    }

    private void assertAnswered(ModelSocketChannel client) {
        assertFalse(client.wasReset(), "closed with its request unread");
        assertTrue(client.answered.indexOf("HTTP/1.1 503 ") == 0, client.answered + "no answer");
    }
}
