package gingerspool.standin;

import static org.testng.Assert.assertTrue;

import gingerspool.wire.Listener;
import gingerspool.wire.Message;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A stand-in whose loop is late knows when a request came all the same. */
public class LateReadingTest {
    private static final double HELD_UP_MS = 200;

    /** What the kernel tells is this exact, and the write takes its time, in milliseconds. */
    private static final double EXACT_TO_MS = 50;

    private static final int WITHIN_S = 20;

    private record Times(double read, double came) {}

    /** Guards the rule on bans: 4 requests sent before the yes were read 0.7 s later, after it. */
    @Test
    public void aRequestThatIsReadLateCameWhenItWasSent() throws Exception {
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        CompletableFuture<Times> times = new CompletableFuture<>();
        CompletableFuture<Integer> port = new CompletableFuture<>();
        CompletableFuture<Void> accepted = new CompletableFuture<>();
        CompletableFuture<Void> isHeld = new CompletableFuture<>();
        CompletableFuture<Void> goesOn = new CompletableFuture<>();
        port.completeAsync(() -> listen(loop, accepted, times), loop::submit);
        try (Socket client = new Socket("127.0.0.1", port.get(WITHIN_S, TimeUnit.SECONDS))) {
            accepted.get(WITHIN_S, TimeUnit.SECONDS);
            loop.submit(
                    () -> {
                        isHeld.complete(null);
                        goesOn.join();
                    });
            isHeld.get(WITHIN_S, TimeUnit.SECONDS);
            client.getOutputStream().write(request());
            double sent = loop.now();
            while (loop.now() < sent + HELD_UP_MS) {
                Thread.onSpinWait();
            }
            goesOn.complete(null);
            Times found = times.get(WITHIN_S, TimeUnit.SECONDS);
            assertTrue(found.read >= sent + HELD_UP_MS, found + ", sent " + sent);
            assertTrue(Math.abs(found.came - sent) < EXACT_TO_MS, found + ", sent " + sent);
        } finally {
            goesOn.complete(null);
            loop.stop();
        }
    }

    private static byte[] request() {
        return "GET / HTTP/1.1\r\nHost: w\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    }

    private static int listen(
            SingleThreadEventLoop loop,
            CompletableFuture<Void> accepted,
            CompletableFuture<Times> times) {
        Link.Server server =
                new Link.Server() {
                    @Override
                    public void asked(Link link, Message request, double firstByteAt) {
                        times.complete(new Times(firstByteAt, link.lastBytesAt()));
                    }

                    @Override
                    public int resetAfter() {
                        return -1;
                    }

                    @Override
                    public void reset() {}

                    @Override
                    public void closed(Link link) {}
                };
        try {
            Listener listener =
                    Acceptor.at(
                            loop,
                            0,
                            () -> true,
                            channel -> {
                                new Link(loop, channel, server).start();
                                accepted.complete(null);
                            });
            listener.acceptOn();
            return ((InetSocketAddress) listener.address()).getPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
