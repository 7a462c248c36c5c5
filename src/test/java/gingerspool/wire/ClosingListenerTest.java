package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.RequestHandlerStub;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Clients of a process that another one has replaced lost their first requests. The kernel lets a
 * client in before the process has accepted it; the process closed its listener, or ended, with
 * such clients in the queue, and they were reset. The log of seed 1501 shows the end: the process
 * said `left` with `listening=true` 20 ms before the resets. So a listener closes only after an
 * accept has waited in vain, and the process ends only once the last accept has told its end. Here
 * the queue is modelled and time passes as the test says.
 */
public class ClosingListenerTest {
    private static final double QUIET = 250;

    /** How often a listener looks whether it is quiet. */
    private static final double PART = QUIET / 10;

    private ModelServerChannel channel;
    private ModelChannelLoop loop;
    private ClientEndpoint clients;
    private int most;

    @BeforeMethod
    public void listen() throws IOException {
        most = 100;
        start();
    }

    private void start() throws IOException {
        loop = new ModelChannelLoop();
        clients =
                new ClientEndpoint(
                        loop, new InetSocketAddress("127.0.0.1", 1), true, most, new NoTasks());
        clients.listen();
        clients.open();
        channel = loop.listening;
    }

    /** No task comes in this test. */
    private static final class NoTasks extends RequestHandlerStub {
        @Override
        public void arrived(TaskRequest request) {
            throw new AssertionError("no task was sent");
        }
    }

    /** The runtime has accepted a client, the loop has not heard of it, and the listener closes. */
    @Test
    public void anAcceptUnderWayAtTheCloseStillCounts() {
        channel.arrive(2);
        clients.shut();
        assertTrue(clients.listens(), "the process may not end: a client is on its way in");
        loop.run(0);
        assertEquals(clients.connections(), 1);
        assertFalse(clients.listens());
    }

    @Test
    public void aCloseWithoutClientsIsOverOneTurnLater() {
        clients.shut();
        loop.run(0);
        assertFalse(clients.listens());
        assertEquals(clients.connections(), 0);
    }

    @Test
    public void aListenerStaysWhileClientsCome() {
        clients.shutWhenQuiet(QUIET);
        for (int client = 0; client < 8; client++) {
            loop.run(QUIET - 1);
            channel.arrive(10 + client);
        }
        loop.run(QUIET - 1);
        assertTrue(clients.listens());
        loop.run(1 + PART);
        assertFalse(clients.listens());
        assertEquals(clients.connections(), 8);
        assertEquals(channel.reset.size(), 0);
    }

    /** The timer of the close is late, and two clients have come while it was due. */
    @Test
    public void clientsThatCameWhileTheLoopStalledAreTaken() {
        clients.shutWhenQuiet(QUIET);
        loop.run(QUIET / 2);
        loop.stall(4 * QUIET);
        channel.arrive(2);
        channel.arrive(3);
        loop.run(1);
        assertEquals(channel.reset.size(), 0);
        assertEquals(clients.connections(), 2);
        loop.run(QUIET);
        assertFalse(clients.listens());
    }

    /**
     * The whole process gets no processor, so that not even the runtime accepts: seen with 74
     * clients in the queue of a process whose timers were 511 ms late.
     */
    @Test
    public void clientsThatCameWhileTheProcessStalledAreTaken() {
        clients.shutWhenQuiet(QUIET);
        loop.run(QUIET / 2);
        channel.starve(true);
        channel.arrive(2);
        channel.arrive(3);
        loop.stall(4 * QUIET);
        loop.run(PART);
        channel.starve(false);
        loop.run(PART);
        assertEquals(channel.reset.size(), 0);
        assertEquals(clients.connections(), 2);
        loop.run(QUIET + PART);
        assertFalse(clients.listens());
    }

    /** Without room nothing is accepted, so that nothing comes says nothing. */
    @Test
    public void aListenerWithoutRoomIsNotQuiet() throws IOException {
        most = 0;
        start();
        channel.arrive(2);
        channel.arrive(3);
        clients.shutWhenQuiet(QUIET);
        loop.run(10 * QUIET);
        assertEquals(channel.reset.size(), 0);
        assertTrue(clients.listens());
        clients.most(10);
        clients.open();
        loop.run(0);
        assertEquals(clients.connections(), 2);
    }

    /** The process that had the new connections is gone: this one listens on, without a gap. */
    @Test
    public void whoTakesItsClientsBackKeepsTheListenerThatItHas() throws IOException {
        ModelServerChannel first = channel;
        clients.shutWhenQuiet(QUIET);
        loop.run(QUIET / 2);
        clients.listen();
        clients.open();
        loop.run(10 * QUIET);
        channel.arrive(2);
        loop.run(0);
        assertTrue(loop.listening == first && clients.listens());
        assertEquals(clients.connections(), 1);
        assertEquals(channel.reset.size(), 0);
    }

    /** It is told to close again after that, and the first order's timer is still there. */
    @Test
    public void anOrderThatWasTakenBackClosesNothing() throws IOException {
        clients.shutWhenQuiet(QUIET);
        loop.run(QUIET / 2);
        clients.listen();
        loop.run(QUIET / 4);
        clients.shutWhenQuiet(QUIET);
        loop.run(QUIET - 1);
        assertTrue(clients.listens());
        loop.run(1 + PART);
        assertFalse(clients.listens());
    }

    /** Its time is over though clients come: those that wait are taken first. */
    @Test
    public void aListenerThatMustCloseTakesWhoWaits() {
        channel.arrive(2);
        clients.drainListener();
        channel.arrive(3);
        channel.arrive(4);
        loop.run(0);
        assertEquals(channel.reset.size(), 0);
        assertEquals(clients.connections(), 3);
        assertFalse(clients.listens());
    }

    /**
     * The process has a new connection whose request has come while the loop got no processor: its
     * timer finds the connection idle for long, and the request has not been looked at yet.
     */
    @Test
    public void aRequestThatTheLoopHasNotSeenYetIsAnswered() {
        ModelSocketChannel client = channel.arrive(2);
        loop.run(0);
        loop.schedule(QUIET, () -> clients.closeIdle(QUIET, QUIET, false));
        loop.stall(4 * QUIET);
        client.say("GET /healthz HTTP/1.1\r\n\r\n");
        loop.run(0);
        assertTrue(client.answered.toString().startsWith("HTTP/1.1 200 "), client.answered + "");
    }

    /** Its first request may be on its way: it is kept for longer than one between requests. */
    @Test
    public void aNewConnectionIsKeptLongerThanOneBetweenRequests() {
        ModelSocketChannel used = channel.arrive(2);
        ModelSocketChannel fresh = channel.arrive(3);
        loop.run(0);
        used.say("GET /healthz HTTP/1.1\r\n\r\n");
        loop.run(QUIET);
        clients.closeIdle(QUIET, 2 * QUIET, false);
        loop.run(0);
        assertTrue(!used.isOpen() && fresh.isOpen());
        loop.run(QUIET);
        clients.closeIdle(QUIET, 2 * QUIET, false);
        loop.run(0);
        assertFalse(fresh.isOpen());
    }
}
