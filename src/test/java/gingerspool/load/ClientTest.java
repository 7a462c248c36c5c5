package gingerspool.load;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.wire.Message;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A request tells how much time is left when it is written, not when it was made. The load tool
 * itself was up to 2.2 s late on a busy machine, wrote requests after their own expiry with 1 ms
 * left, and the answers counted as late.
 */
public class ClientTest {
    private static final double PATIENCE = 5000;

    private SingleThreadEventLoop loop;
    private Arrivals arrivals;
    private ServerSocket server;

    /** How the request of a client ended. */
    private static final class Ends implements Client.Owner {
        private final CompletableFuture<String> how = new CompletableFuture<>();
        private volatile double answeredAt;
        private volatile double brokeAt;

        @Override
        public void answered(Client client, Message answer, double at) {
            answeredAt = at;
            how.complete("answered " + answer.status());
        }

        @Override
        public void broke(Client client, boolean written, boolean up, double at) {
            brokeAt = at;
            how.complete("broke");
        }

        @Override
        public void extra(Client client) {
            how.complete("extra");
        }

        @Override
        public void tooLate(Client client) {
            how.complete("too late");
            client.end();
        }
    }

    @BeforeMethod
    public void begin() throws IOException {
        loop = new SingleThreadEventLoop();
        arrivals = new Arrivals(loop);
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout(5000);
    }

    @AfterMethod
    public void end() throws IOException {
        arrivals.close();
        loop.stop();
        server.close();
    }

    private Client client(Ends ends) throws IOException {
        return new Client(
                loop,
                arrivals,
                0,
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                ends);
    }

    /** Guards the record: the time that is left is asked for once the connection is up. */
    @Test
    public void theRequestIsMadeWhenItIsWritten() throws Exception {
        Ends ends = new Ends();
        CompletableFuture<Boolean> madeAtOnce = new CompletableFuture<>();
        loop.submit(
                () -> {
                    try {
                        boolean[] made = {false};
                        client(ends)
                                .ask(
                                        () -> {
                                            made[0] = true;
                                            return "GET / HTTP/1.1\r\n\r\n"
                                                    .getBytes(StandardCharsets.US_ASCII);
                                        },
                                        PATIENCE);
                        madeAtOnce.complete(made[0]);
                    } catch (IOException e) {
                        madeAtOnce.completeExceptionally(e);
                    }
                });
        assertEquals(madeAtOnce.get(5, TimeUnit.SECONDS), Boolean.FALSE);
        try (Socket accepted = server.accept()) {
            assertTrue(accepted.getInputStream().read(new byte[100]) > 0);
            accepted.getOutputStream()
                    .write(
                            "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            assertEquals(ends.how.get(5, TimeUnit.SECONDS), "answered 204");
        }
    }

    /** Guards schedulers: what is over before it can be written is no request of theirs. */
    @Test
    public void aRequestWhoseTimeIsOverIsNotSent() throws Exception {
        Ends ends = new Ends();
        loop.submit(
                () -> {
                    try {
                        client(ends).ask(() -> null, PATIENCE);
                    } catch (IOException e) {
                        ends.how.completeExceptionally(e);
                    }
                });
        try (Socket accepted = server.accept()) {
            assertEquals(ends.how.get(5, TimeUnit.SECONDS), "too late");
            assertEquals(accepted.getInputStream().read(), -1);
        }
    }

    /**
     * Guards the record: the time of an answer is the one at which it was read, not the one at
     * which the loop came to it. The loop stands still here until the answer has been read, and 20
     * ms more.
     */
    @Test
    public void anAnswerIsTimedWhenItIsRead() throws Exception {
        Ends ends = new Ends();
        CompletableFuture<Double> readBy = new CompletableFuture<>();
        byte[] request = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII);
        loop.submit(
                () -> {
                    try {
                        client(ends).ask(() -> request, PATIENCE);
                    } catch (IOException e) {
                        ends.how.completeExceptionally(e);
                    }
                });
        try (Socket accepted = server.accept()) {
            accepted.getInputStream().readNBytes(request.length);
            CountDownLatch stands = new CountDownLatch(1);
            loop.submit(
                    () -> {
                        stands.countDown();
                        await(() -> arrivals.waiting() > 0);
                        readBy.complete(loop.now());
                        double until = loop.now() + 20;
                        await(() -> loop.now() > until);
                    });
            stands.await();
            accepted.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII));
            assertEquals(ends.how.get(10, TimeUnit.SECONDS), "answered 200");
            assertTrue(ends.answeredAt <= readBy.get(), ends.answeredAt + " > " + readBy.get());
        }
    }

    /** Guards the record: the end of a connection is timed when it is read, as an answer is. */
    @Test
    public void theEndOfAConnectionIsTimedWhenItIsRead() throws Exception {
        Ends ends = new Ends();
        CompletableFuture<Double> readBy = new CompletableFuture<>();
        byte[] request = "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n".getBytes(US_ASCII);
        loop.submit(
                () -> {
                    try {
                        client(ends).ask(() -> request, PATIENCE);
                    } catch (IOException e) {
                        ends.how.completeExceptionally(e);
                    }
                });
        try (Socket accepted = server.accept()) {
            accepted.getInputStream().readNBytes(request.length);
            CountDownLatch stands = new CountDownLatch(1);
            loop.submit(
                    () -> {
                        stands.countDown();
                        await(() -> arrivals.waiting() > 0);
                        readBy.complete(loop.now());
                        double until = loop.now() + 20;
                        await(() -> loop.now() > until);
                    });
            stands.await();
        }
        assertEquals(ends.how.get(10, TimeUnit.SECONDS), "broke");
        assertTrue(ends.brokeAt <= readBy.get(), ends.brokeAt + " > " + readBy.get());
    }

    /** Keeps the loop busy until this holds, for 5 s at most. */
    private static void await(BooleanSupplier holds) {
        long until = System.nanoTime() + 5_000_000_000L;
        while (!holds.getAsBoolean() && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }
}
