package gingerspool.load;

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
import java.util.concurrent.TimeUnit;
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
    private ServerSocket server;

    /** How the request of a client ended. */
    private static final class Ends implements Client.Owner {
        private final CompletableFuture<String> how = new CompletableFuture<>();

        @Override
        public void answered(Client client, Message answer) {
            how.complete("answered " + answer.status());
        }

        @Override
        public void broke(Client client, boolean written, boolean up) {
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
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        server.setSoTimeout(5000);
    }

    @AfterMethod
    public void end() throws IOException {
        loop.stop();
        server.close();
    }

    private Client client(Ends ends) throws IOException {
        return new Client(
                loop,
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
}
