package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.wire.ConnectionSteering.Outcome;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Listeners beside each other at one port: who gets the new connections, on the real kernel. */
public class ConnectionSteeringTest {
    private static final double PROBE_WITHIN = 250;
    private static final int CLIENTS = 60;
    private static final int MOST_LISTENERS = 8;

    private SingleThreadEventLoop loop;
    private ExecutorService blocking;
    private final List<Counter> listeners = new ArrayList<>();
    private int port;

    /** Counts what its listener accepts. */
    private final class Counter implements Listener.Owner {
        private final Listener listener;
        private int accepted;

        Counter() throws IOException {
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            listener = new Listener(loop, at, true, this);
            port = ((InetSocketAddress) listener.address()).getPort();
            listeners.add(this);
            loop.submit(listener::acceptOn);
        }

        @Override
        public void accepted(AsynchronousSocketChannel channel) {
            accepted++;
        }
    }

    @BeforeMethod
    public void start() throws IOException {
        loop = new SingleThreadEventLoop();
        blocking = Executors.newSingleThreadExecutor();
        port = 0;
    }

    @AfterMethod
    public void stop() {
        listeners.clear();
        loop.stop();
        blocking.shutdown();
    }

    private ConnectionSteering steering() {
        return new ConnectionSteering(loop, blocking, loop::submit, PROBE_WITHIN);
    }

    private Outcome claim(ConnectionSteering steering, Counter of, int others) throws Exception {
        CompletableFuture<Outcome> done = new CompletableFuture<>();
        loop.submit(() -> steering.claim(of.listener, others, done::complete));
        return done.get(20, TimeUnit.SECONDS);
    }

    private int accepted(Counter of) throws Exception {
        CompletableFuture<Integer> n = new CompletableFuture<>();
        loop.submit(() -> n.complete(of.accepted));
        return n.get(10, TimeUnit.SECONDS);
    }

    private int acceptedOf(List<Counter> all) throws Exception {
        int sum = 0;
        for (Counter c : all) {
            sum += accepted(c);
        }
        return sum;
    }

    /** How many of some new clients come to each. */
    private List<Integer> connect() throws Exception {
        List<Integer> before = new ArrayList<>();
        for (Counter c : listeners) {
            before.add(accepted(c));
        }
        int had = acceptedOf(listeners);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
        while (acceptedOf(listeners) < had + CLIENTS) {
            Thread.onSpinWait();
        }
        for (Socket client : clients) {
            client.close();
        }
        List<Integer> came = new ArrayList<>();
        for (int i = 0; i < listeners.size(); i++) {
            came.add(accepted(listeners.get(i)) - before.get(i));
        }
        return came;
    }

    /** The second and the first member of a group are both found; released, both get some. */
    @Test(timeOut = 60_000)
    public void allNewConnectionsComeToWhoClaimsThem() throws Exception {
        Counter first = new Counter();
        Counter second = new Counter();
        ConnectionSteering ofSecond = steering();
        assertEquals(claim(ofSecond, second, ConnectionSteering.UNKNOWN), Outcome.CLAIMED);
        assertEquals(connect(), List.of(0, CLIENTS));
        assertEquals(claim(steering(), first, ofSecond.member()), Outcome.CLAIMED);
        assertEquals(connect(), List.of(CLIENTS, 0));
        ofSecond.release(port);
        blocking.submit(() -> {}).get(10, TimeUnit.SECONDS);
        List<Integer> came = connect();
        assertTrue(came.get(0) > 0 && came.get(1) > 0, came.toString());
    }

    /** The first of three closes: the kernel numbers the others anew, which a new claim sees. */
    @Test(timeOut = 60_000)
    public void aMemberThatClosedIsAllowedFor() throws Exception {
        Counter first = new Counter();
        new Counter();
        Counter third = new Counter();
        ConnectionSteering steering = steering();
        assertEquals(claim(steering, third, ConnectionSteering.UNKNOWN), Outcome.CLAIMED);
        assertEquals(steering.member(), 2);
        first.listener.close();
        assertEquals(claim(steering, third, steering.member()), Outcome.CLAIMED);
        assertEquals(connect(), List.of(0, 0, CLIENTS));
    }

    /** Guards first requests: whichever of up to eight listeners closes, a claim gets all. */
    @Test(timeOut = 60_000)
    public void aClaimGetsAllWhicheverListenersHaveClosed() throws Exception {
        SplittableRandom chance = new SplittableRandom(61);
        for (int i = 0; i < MOST_LISTENERS; i++) {
            new Counter();
        }
        while (!listeners.isEmpty()) {
            int claimant = chance.nextInt(listeners.size());
            ConnectionSteering steering = steering();
            Outcome outcome = claim(steering, listeners.get(claimant), ConnectionSteering.UNKNOWN);
            assertEquals(outcome, Outcome.CLAIMED);
            List<Integer> all = new ArrayList<>(Collections.nCopies(listeners.size(), 0));
            all.set(claimant, CLIENTS);
            assertEquals(connect(), all);
            assertTrue(verified(steering, listeners.get(claimant)));
            listeners.remove(chance.nextInt(listeners.size())).listener.close();
        }
    }

    private boolean verified(ConnectionSteering steering, Counter of) throws Exception {
        CompletableFuture<Boolean> stands = new CompletableFuture<>();
        loop.submit(() -> steering.verify(of.listener, stands::complete));
        return stands.get(20, TimeUnit.SECONDS);
    }

    /** Guards the process before: a claim that stands is looked at without a connection to it. */
    @Test(timeOut = 60_000)
    public void aClaimIsVerifiedWithoutAConnectionToOthers() throws Exception {
        Counter first = new Counter();
        Counter second = new Counter();
        ConnectionSteering steering = steering();
        assertEquals(claim(steering, second, ConnectionSteering.UNKNOWN), Outcome.CLAIMED);
        int before = accepted(first);
        for (int i = 0; i < 20; i++) {
            assertTrue(verified(steering, second));
        }
        assertEquals(accepted(first), before);
        assertEquals(claim(steering(), first, steering.member()), Outcome.CLAIMED);
        assertFalse(verified(steering, second));
    }

    /** Guards the successor: one that is succeeded while it claims takes nothing afterwards. */
    @Test(timeOut = 60_000)
    public void aCancelledClaimSelectsNothing() throws Exception {
        Counter first = new Counter();
        Counter second = new Counter();
        assertEquals(claim(steering(), first, ConnectionSteering.UNKNOWN), Outcome.CLAIMED);
        ConnectionSteering cancelled = steering();
        CompletableFuture<Outcome> done = new CompletableFuture<>();
        loop.submit(
                () -> {
                    cancelled.claim(second.listener, 0, done::complete);
                    cancelled.cancel();
                });
        assertEquals(done.get(20, TimeUnit.SECONDS), Outcome.CANCELLED);
        blocking.submit(() -> {}).get(10, TimeUnit.SECONDS);
        assertEquals(cancelled.member(), ConnectionSteering.UNKNOWN);
        assertEquals(connect(), List.of(CLIENTS, 0));
    }

    /** Where the system has no such option, clients come as before, and it is said so. */
    @Test(timeOut = 60_000)
    public void withoutTheOptionNothingIsClaimed() throws Exception {
        Counter only = new Counter();
        ConnectionSteering.Group none =
                new ConnectionSteering.Group() {
                    @Override
                    public void load() {
                        throw new UnsatisfiedLinkError("no native library");
                    }

                    @Override
                    public boolean select(int port, int member) {
                        return false;
                    }

                    @Override
                    public boolean selectFor(
                            List<ReusePortGroup.Route> routes, int port, int others) {
                        throw new UnsatisfiedLinkError("no native library");
                    }

                    @Override
                    public void selectByHash(int port) {
                        throw new UnsatisfiedLinkError("no native library");
                    }
                };
        ConnectionSteering steering =
                new ConnectionSteering(loop, blocking, loop::submit, PROBE_WITHIN, none);
        steering.prepare();
        assertEquals(claim(steering, only, ConnectionSteering.UNKNOWN), Outcome.UNSUPPORTED);
        steering.release(port);
        assertEquals(connect(), List.of(CLIENTS));
    }
}
