package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.RequestHandlerStub;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Answers came after their client's expiry where the request had waited to be read: its time ran
 * from when the loop came to it, not from when the client wrote. Here queue and time are modelled.
 */
public class RequestArrivalTest {
    private static final String REQUEST =
            "POST /p HTTP/1.1\r\nX-Correlation-Id: i1\r\nX-Time-Left-Ms: 500\r\n"
                    + "Content-Length: 0\r\n\r\n";
    private static final int MOST = 2;

    private final List<TaskRequest> requests = new ArrayList<>();
    private Runnable whenArrived;
    private ModelChannelLoop loop;
    private ModelServerChannel channel;

    /** Keeps every request, in hand for ever. */
    private final class Requests extends RequestHandlerStub {
        @Override
        public void arrived(TaskRequest request) {
            requests.add(request);
            whenArrived.run();
        }
    }

    @BeforeMethod
    public void listen() throws IOException {
        listen(MOST);
    }

    private void listen(int most) throws IOException {
        requests.clear();
        whenArrived = () -> {};
        loop = new ModelChannelLoop();
        ClientEndpoint clients =
                new ClientEndpoint(
                        loop, new InetSocketAddress("127.0.0.1", 1), true, most, new Requests());
        clients.listen();
        clients.open();
        channel = loop.listening;
    }

    private ModelSocketChannel connected(int port) {
        ModelSocketChannel client = channel.arrive(port);
        loop.run(1);
        return client;
    }

    private double arrivedFrom(int number) {
        return requests.get(number).arrivedFrom();
    }

    @Test
    public void aRequestThatALateLoopReadsCountsFromWhenItCame() {
        ModelSocketChannel client = connected(2);
        loop.run(300);
        double written = loop.now();
        client.say(REQUEST);
        loop.stall(600);
        loop.run(1);
        assertEquals(arrivedFrom(0), written);
    }

    @Test
    public void theFirstRequestOfAClientThatALateLoopLetsInCountsFromItsHandshake() {
        loop.run(300);
        double arrived = loop.now();
        channel.arrive(2).say(REQUEST);
        loop.stall(600);
        loop.run(1);
        assertEquals(arrivedFrom(0), arrived);
    }

    /** Nobody tells when a connection came that waits in the kernel for room here. */
    @Test
    public void aClientThatWaitedForRoomMayHaveWrittenSinceRoomWasLastLeft() {
        connected(2).say(REQUEST);
        loop.run(300);
        double filled = loop.now();
        connected(3).say(REQUEST);
        loop.run(100);
        channel.arrive(4).say(REQUEST);
        loop.run(1500);
        assertEquals(requests.size(), 2, "the third waits for room");
        requests.get(0).client().answer(503, List.of(), "");
        loop.run(300);
        assertEquals(requests.size(), 3);
        assertEquals(arrivedFrom(2), filled);
    }

    @Test
    public void theNextRequestOnAConnectionCountsFromItsOwnTime() {
        ModelSocketChannel client = connected(2);
        client.say(REQUEST);
        loop.run(10);
        requests.get(0).client().answer(503, List.of(), "");
        loop.run(700);
        double written = loop.now();
        client.say(REQUEST);
        loop.run(1);
        assertEquals(arrivedFrom(1), written);
    }

    /** A request that comes in two parts counts from its last byte. */
    @Test
    public void aRequestInPartsCountsFromItsLastByte() {
        ModelSocketChannel client = connected(2);
        client.say(REQUEST.substring(0, 30));
        loop.run(400);
        double written = loop.now();
        client.say(REQUEST.substring(30));
        loop.run(1);
        assertEquals(arrivedFrom(0), written);
    }

    /**
     * A loop that has just enough to do: whenever it takes a client, the next one has come, some
     * milliseconds ago. Nobody waits for long, however long that goes on.
     */
    @Test
    public void clientsThatComeOneAfterTheOtherToABusyLoopCameOneAfterTheOther()
            throws IOException {
        int many = 300;
        double takesMs = 10;
        List<Double> written = new ArrayList<>();
        listen(2 * many);
        loop.run(300);
        whenArrived =
                () -> {
                    requests.get(requests.size() - 1).client().answer(503, List.of(), "");
                    loop.stall(takesMs);
                    come(written, written.size() < many ? 1 : 0);
                };
        come(written, 2);
        loop.run(2 * many * takesMs);
        assertEquals(requests.size(), many);
        double early = written.get(many - 1) - arrivedFrom(many - 1);
        assertTrue(early < 500, "taken for " + early + " ms older than it was");
    }

    private void come(List<Double> written, int clients) {
        for (int i = 0; i < clients; i++) {
            written.add(loop.now());
            channel.arrive(written.size() + 1).say(REQUEST);
        }
    }

    /** Stopped again before the timers that waited for the first stop's end have run. */
    @Test
    public void aRequestThatCameInASecondStopCountsFromThen() {
        ModelSocketChannel client = connected(2);
        loop.run(300);
        loop.stall(600);
        loop.run(5);
        double written = loop.now();
        client.starve(true);
        client.say(REQUEST);
        loop.stall(700);
        client.starve(false);
        loop.run(1);
        assertTrue(arrivedFrom(0) <= written, arrivedFrom(0) - written + " ms too late");
    }

    /** Both at once: requests are read all the time, and timers are late by more than 50 ms. */
    @Test
    public void aRequestUnderLoadIsNotAsOldAsTheLoad() throws IOException {
        listen(20);
        List<ModelSocketChannel> busy = new ArrayList<>();
        for (int i = 0; i < 15; i++) {
            busy.add(connected(2 + i));
        }
        List<ModelSocketChannel> clients = List.of(connected(98), connected(99));
        loop.run(300);
        for (int i = 0; i < 60; i++) {
            for (ModelSocketChannel next : busy) {
                loop.stall(10);
                next.say("GET /healthz HTTP/1.1\r\n\r\n");
            }
            double written = loop.now();
            if (i >= 58) {
                clients.get(i - 58).say(REQUEST);
            }
            loop.run(0);
            if (i >= 58) {
                double early = written - arrivedFrom(i - 58);
                assertTrue(early < 500, "taken for " + early + " ms older than it was");
            }
        }
    }

    /**
     * Where the room is used up, the longest idle connection makes way for a new one. Right after a
     * stop an idle time tells nothing: what came meanwhile has not been looked at.
     */
    @Test
    public void aFirstRequestThatCameInAStopIsNotClosedForRoom() {
        ModelSocketChannel client = connected(2);
        loop.run(100);
        client.starve(true);
        client.say(REQUEST);
        loop.stall(600);
        channel.arrive(3);
        client.starve(false);
        loop.run(100);
        assertEquals(requests.size(), 1, "the first request was closed unread");
    }
}
