package gingerspool.wire;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Links between our own processes, on loopback. */
public class FramesTest {
    private SingleThreadEventLoop loop;
    private ServerSocket server;
    private CompletableFuture<byte[]> came;
    private CompletableFuture<Void> closed;

    @BeforeMethod
    public void open() throws IOException {
        loop = new SingleThreadEventLoop();
        server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        came = new CompletableFuture<>();
        closed = new CompletableFuture<>();
    }

    @AfterMethod
    public void end() throws IOException {
        loop.stop();
        server.close();
    }

    private Socket link(CompletableFuture<Frames> whenUp) throws Exception {
        loop.submit(
                () -> {
                    try {
                        Frames.open(
                                loop,
                                new InetSocketAddress(
                                        server.getInetAddress(), server.getLocalPort()),
                                1000,
                                new Frames.Owner() {
                                    @Override
                                    public void up(Frames link) {
                                        whenUp.complete(link);
                                    }

                                    @Override
                                    public void came(Frames link, byte[] frame) {
                                        came.complete(frame);
                                    }

                                    @Override
                                    public void closed(Frames link) {
                                        closed.complete(null);
                                    }
                                });
                    } catch (IOException e) {
                        closed.completeExceptionally(e);
                    }
                });
        return server.accept();
    }

    private static <T> T get(CompletableFuture<T> f) throws Exception {
        return f.get(10, TimeUnit.SECONDS);
    }

    /**
     * Seen on kowhai-rsvp, trouble-1: a reset found a write under way, and the link was never given
     * back.
     */
    @Test
    public void aResetUnderAWriteEndsTheLink() throws Exception {
        CompletableFuture<Frames> f = new CompletableFuture<>();
        try (Socket peer = link(f)) {
            Frames link = get(f);
            loop.submit(
                    () -> {
                        for (int i = 0; i < 64; i++) {
                            link.send(new byte[1 << 20]);
                        }
                    });
            peer.getInputStream().read();
            peer.setSoLinger(true, 0);
        }
        get(closed);
    }

    @DataProvider
    Object[][] strangers() {
        return new Object[][] {
            {new byte[] {-1, 0, 0, 0}},
            {new byte[] {127, 0, 0, 0}},
            {"GET / HT".getBytes()},
            {new byte[] {0, 0}}
        };
    }

    @Test(dataProvider = "strangers")
    public void whatIsNoFrameEndsTheLink(byte[] bytes) throws Exception {
        try (Socket peer = link(new CompletableFuture<>())) {
            peer.getOutputStream().write(bytes);
        }
        get(closed);
        assertEquals(came.isDone(), false);
    }

    @Test
    public void framesComeWholeHoweverTheyAreCut() throws Exception {
        CompletableFuture<Frames> f = new CompletableFuture<>();
        try (Socket peer = link(f)) {
            get(f);
            peer.setTcpNoDelay(true);
            for (byte b : new byte[] {0, 0, 0, 3, 7, 8, 9}) {
                peer.getOutputStream().write(b);
                peer.getOutputStream().flush();
            }
            assertEquals(get(came), new byte[] {7, 8, 9});
        }
    }
}
