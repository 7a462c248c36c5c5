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
 * Requests that wait in the kernel because the process is stopped or has no room for their
 * connection. A client waits for `X-Time-Left-Ms` from when it has sent its request, so the answer
 * is due by the client's time, not by the time at which the process reads the request.
 *
 * <p>The worker of these tests accepts each task and never ends it, so the process has to answer
 * the client before the task's expiry. Sockets and time are modelled; times are milliseconds.
 */
public class LateRequestTest {
    /** The time that the client waits for an answer, as stated in its request. */
    private static final int TIME_LEFT_MS = 800;

    /** How long the request waits in the kernel before the process reads it. */
    private static final double UNREAD_MS = 400;

    /**
     * How long answers are awaited: well beyond the answer of a process that counts from the
     * reading.
     */
    private static final double OBSERVED_MS = 3 * TIME_LEFT_MS;

    private ModelChannelLoop loop;
    private Scheduler scheduler;
    private ClientEndpoint clients;
    private ModelServerChannel channel;

    @BeforeMethod
    public void prepare() throws Exception {
        start(10);
    }

    /** Starts a scheduler with one worker and room for this many client connections. */
    private void start(int maxClients) throws Exception {
        String knownList =
                "'known':{'seq':7,'whole':true,'hosts':[{'host':'s-1','dial':'127.0.0.1:9',"
                        + "'site':'a','class':'m','block':0,'health':'SERVING','share':4,"
                        + "'born_ms':0}]},";
        String node =
                ConfigurationTest.NODE
                        .replace("'settings'", knownList + "'settings'")
                        .replace("'dueTimeMs':100", "'dueTimeMs':3000");
        NodeConfiguration configuration =
                new NodeConfiguration(ConfigurationTest.parse(node), Map.of());
        loop = new ModelChannelLoop();
        scheduler = new Scheduler(loop, configuration, 10, 10);
        clients =
                new ClientEndpoint(
                        loop, new InetSocketAddress("127.0.0.1", 1), true, maxClients, scheduler);
        clients.listen();
        clients.open();
        channel = loop.listening;
        scheduler.start(configuration.knownList, true);
    }

    private static String taskRequest(String id, int timeLeft) {
        return "POST /p HTTP/1.1\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Weight-Hint: 10000\r\nX-Time-Left-Ms: "
                + timeLeft
                + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** A request on a connection that the client has kept open. */
    @Test
    public void requestReadLateOnAKeptConnectionIsAnsweredInTime() {
        ModelSocketChannel client = channel.arrive(2);
        loop.run(1);
        client.say("GET /healthz HTTP/1.1\r\n\r\n");
        loop.run(1);
        client.answered.setLength(0);
        client.starve(true);
        client.say(taskRequest("i1", TIME_LEFT_MS));
        double sentAt = loop.now();
        loop.stall(UNREAD_MS);
        client.starve(false);
        assertAnsweredInTime(client, sentAt);
    }

    /** The first request of a client whose connection waits to be accepted. */
    @Test
    public void requestOnAConnectionAcceptedLateIsAnsweredInTime() {
        channel.starve(true);
        ModelSocketChannel client = channel.arrive(2);
        client.say(taskRequest("i1", TIME_LEFT_MS));
        double sentAt = loop.now();
        loop.stall(UNREAD_MS);
        channel.starve(false);
        assertAnsweredInTime(client, sentAt);
    }

    /**
     * The first request of a client for whose connection there was no room, as in a new process
     * while the previous one holds most descriptors. The loop is on time throughout.
     */
    @Test
    public void requestThatWaitedForRoomIsAnsweredInTime() throws Exception {
        start(1);
        ModelSocketChannel first = channel.arrive(2);
        first.say(taskRequest("i1", (int) UNREAD_MS));
        loop.run(1);
        ModelSocketChannel client = channel.arrive(3);
        client.say(taskRequest("i2", TIME_LEFT_MS));
        assertAnsweredInTime(client, loop.now());
    }

    /**
     * A request that has expired when it is read is answered at once, so that its client does not
     * wait any longer.
     */
    @Test
    public void requestReadAfterItsExpiryIsAnsweredAtOnce() {
        ModelSocketChannel client = channel.arrive(2);
        loop.run(1);
        client.starve(true);
        client.say(taskRequest("i1", (int) UNREAD_MS / 2));
        double sentAt = loop.now();
        loop.stall(UNREAD_MS);
        client.starve(false);
        double answeredAfter = runUntilAnswered(client, sentAt);
        assertTrue(
                answeredAfter <= UNREAD_MS + 1,
                "read at "
                        + UNREAD_MS
                        + ", answered at "
                        + answeredAfter
                        + " ms after its sending");
    }

    private void assertAnsweredInTime(ModelSocketChannel client, double sentAt) {
        double answeredAfter = runUntilAnswered(client, sentAt);
        assertTrue(
                answeredAfter <= TIME_LEFT_MS,
                "the client waits for "
                        + TIME_LEFT_MS
                        + ", the answer came after "
                        + answeredAfter);
    }

    /**
     * Runs until the request is answered, while the worker accepts every task.
     *
     * @return the time from the sending of the request to its answer; infinite without one
     */
    private double runUntilAnswered(ModelSocketChannel client, double sentAt) {
        while (client.answered.length() == 0 && loop.now() < sentAt + OBSERVED_MS) {
            loop.run(1);
            loop.opened.forEach(LateRequestTest::acceptTask);
        }
        return client.answered.length() > 0 ? loop.now() - sentAt : Double.POSITIVE_INFINITY;
    }

    private static void acceptTask(ModelSocketChannel toWorker) {
        if (toWorker.answered.indexOf("POST ") == 0) {
            toWorker.answered.setLength(0);
            toWorker.say(SocketTestBase.ACCEPTED);
        }
    }
}
