package gingerspool.wire;

import static org.testng.Assert.assertEquals;

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
    private ModelChannelLoop loop;
    private ModelServerChannel channel;

    /** Keeps every request, in hand for ever. */
    private final class Requests extends RequestHandlerStub {
        @Override
        public void arrived(TaskRequest request) {
            requests.add(request);
        }
    }

    @BeforeMethod
    public void listen() throws IOException {
        requests.clear();
        loop = new ModelChannelLoop();
        ClientEndpoint clients =
                new ClientEndpoint(
                        loop, new InetSocketAddress("127.0.0.1", 1), true, MOST, new Requests());
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
}
