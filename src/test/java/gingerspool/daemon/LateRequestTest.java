package gingerspool.daemon;

import static org.testng.Assert.assertTrue;

import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.ModelChannelLoop;
import gingerspool.wire.ModelServerChannel;
import gingerspool.wire.ModelSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A client waits for `X-Time-Left-Ms` from when it has sent its request. Where the process stands
 * still or has no room for the connection, the request waits in the kernel, and its time runs on:
 * the answer is due by the client's time, not by that of the process which reads it late. The
 * worker of these tests takes each task and never ends it, so that the process has to say at its
 * expiry that nothing came of it. Sockets and time are modelled; times are milliseconds.
 */
public class LateRequestTest {
    /** What the client says that it waits for. */
    private static final int TIME_LEFT = 800;

    /** The request waits in the kernel for so long before the process reads it. */
    private static final double UNREAD = 400;

    /** Far beyond any answer of a process that counts from the reading. */
    private static final double WATCHED = 3 * TIME_LEFT;

    private ModelChannelLoop loop;
    private Scheduler scheduler;
    private ClientEndpoint clients;
    private ModelServerChannel channel;

    @BeforeMethod
    public void prepare() throws Exception {
        start(10);
    }

    /** Serves with one worker and room for so many connections of clients. */
    private void start(int mostClients) throws Exception {
        String known =
                "'known':{'seq':7,'whole':true,'hosts':[{'host':'s-1','dial':'127.0.0.1:9',"
                        + "'site':'a','class':'m','block':0,'health':'SERVING','share':4,"
                        + "'born_ms':0}]},";
        String node =
                ConfigurationTest.NODE
                        .replace("'settings'", known + "'settings'")
                        .replace("'dueTimeMs':100", "'dueTimeMs':3000");
        NodeConfiguration read = new NodeConfiguration(ConfigurationTest.tree(node), Map.of());
        loop = new ModelChannelLoop();
        scheduler = new Scheduler(loop, read, 10, 10);
        clients =
                new ClientEndpoint(
                        loop, new InetSocketAddress("127.0.0.1", 1), true, mostClients, scheduler);
        clients.listen();
        clients.open();
        channel = loop.listening;
        scheduler.start(read.knownList, true);
    }

    private static String task(String id, int timeLeft) {
        return "POST /p HTTP/1.1\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Weight-Hint: 10000\r\nX-Time-Left-Ms: "
                + timeLeft
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** Guards the answer of a request on a connection that the client has kept. */
    @Test
    public void aRequestReadLateOnAKeptConnectionIsAnsweredInTime() {
        ModelSocketChannel client = channel.arrive(2);
        loop.run(1);
        client.say("GET /healthz HTTP/1.1\r\n\r\n");
        loop.run(1);
        client.answered.setLength(0);
        client.starve(true);
        client.say(task("i1", TIME_LEFT));
        double sentAt = loop.now();
        loop.stall(UNREAD);
        client.starve(false);
        assertAnsweredInTime(client, sentAt);
    }

    /** Guards the first request of a client whose connection waits to be accepted. */
    @Test
    public void aRequestOnAConnectionAcceptedLateIsAnsweredInTime() {
        channel.starve(true);
        ModelSocketChannel client = channel.arrive(2);
        client.say(task("i1", TIME_LEFT));
        double sentAt = loop.now();
        loop.stall(UNREAD);
        channel.starve(false);
        assertAnsweredInTime(client, sentAt);
    }

    /**
     * Guards the first request of a client for whose connection there was no room, as in a new
     * process while the one before it holds most descriptors. The loop is on time all the while.
     */
    @Test
    public void aRequestThatWaitedForRoomIsAnsweredInTime() throws Exception {
        start(1);
        ModelSocketChannel first = channel.arrive(2);
        first.say(task("i1", (int) UNREAD));
        loop.run(1);
        ModelSocketChannel client = channel.arrive(3);
        client.say(task("i2", TIME_LEFT));
        assertAnsweredInTime(client, loop.now());
    }

    /** Guards clients that would wait in vain: what is over when it is read is answered at once. */
    @Test
    public void aRequestThatIsReadAfterItsExpiryIsAnsweredAtOnce() {
        ModelSocketChannel client = channel.arrive(2);
        loop.run(1);
        client.starve(true);
        client.say(task("i1", (int) UNREAD / 2));
        double sentAt = loop.now();
        loop.stall(UNREAD);
        client.starve(false);
        double answeredAfter = answeredAfter(client, sentAt);
        assertTrue(
                answeredAfter <= UNREAD + 1,
                "read at " + UNREAD + ", answered at " + answeredAfter + " ms after its sending");
    }

    private void assertAnsweredInTime(ModelSocketChannel client, double sentAt) {
        double answeredAfter = answeredAfter(client, sentAt);
        assertTrue(
                answeredAfter <= TIME_LEFT,
                "the client waits for " + TIME_LEFT + ", the answer came after " + answeredAfter);
    }

    /** How long after its sending the answer came; the worker takes whatever it is sent. */
    private double answeredAfter(ModelSocketChannel client, double sentAt) {
        while (client.answered.length() == 0 && loop.now() < sentAt + WATCHED) {
            loop.run(1);
            loop.opened.forEach(LateRequestTest::take);
        }
        return client.answered.length() > 0 ? loop.now() - sentAt : Double.POSITIVE_INFINITY;
    }

    private static void take(ModelSocketChannel toWorker) {
        if (toWorker.answered.indexOf("POST ") == 0) {
            toWorker.answered.setLength(0);
            toWorker.say(Rig.TAKEN);
        }
    }
}
