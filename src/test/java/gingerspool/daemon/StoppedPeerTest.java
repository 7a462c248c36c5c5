package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Bench;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * One of the two processes of a hand-over stands still for a while at a certain step, and goes on.
 * The test plays the other one; a process stands still by a task that holds its loop.
 */
public class StoppedPeerTest extends HandoverRig {
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: ";
    private static final String STATE =
            "{\"v\":1,\"suspended\":[],\"drained\":false,\"discovery\":\"\","
                    + "\"list\":{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"s-1\","
                    + "\"dial\":\"127.0.0.1:9\",\"site\":\"a\",\"class\":\"m\",\"block\":0,"
                    + "\"health\":\"SERVING\",\"share\":4,\"born_ms\":0}]}}";

    /** Operators are owed an answer by then, in milliseconds. */
    private static final long ANSWER_OWED = 1000;

    /** A connection to another process comes up within this, in milliseconds. */
    private static final int CONNECT_WITHIN = 250;

    /** No process of these tests stands still for longer, in milliseconds. */
    private static final long LONGEST_STOP = 2000;

    /** A process that has to wait for another one asks every 50 ms, for 2 s here. */
    private static final int MOST_JOINS = 50;

    private static final long FAR_BEYOND = 10;

    private Predecessor predecessor;

    @BeforeMethod
    public void listenForSuccessor() throws IOException {
        predecessor = new Predecessor();
    }

    @AfterMethod
    public void closePredecessor() throws IOException {
        predecessor.server.close();
    }

    /** The process before, as the test plays it: answers whatever it is not told to leave. */
    private final class Predecessor {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        /** Calls of these names get no answer. */
        private volatile String silentAt = "hold";

        Predecessor() throws IOException {
            acceptAll(server, this::serve);
        }

        private void serve(Socket s) throws IOException {
            while (true) {
                String name = Bench.read(s).replaceAll("(?s)POST /v1/link/([a-z]+) .*", "$1");
                if (silentAt.contains(name)) {
                    return;
                }
                Bench.write(s, answer(name));
            }
        }

        private String answer(String name) {
            String body =
                    name.equals("join")
                            ? STATE
                            : name.equals("take") || name.equals("held")
                                    ? "{\"descriptors\":30,\"listener\":0}"
                                    : "";
            return OK + body.length() + "\r\n\r\n" + body;
        }
    }

    private interface Service {
        void serve(Socket s) throws IOException;
    }

    /** Serves each connection on a thread of its own, until the socket is closed. */
    private void acceptAll(ServerSocket server, Service service) {
        begin(
                () -> {
                    while (true) {
                        Socket s = server.accept();
                        sockets.add(s);
                        begin(() -> service.serve(s));
                    }
                });
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void begin(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                step.run();
                            } catch (IOException e) {
                                // Closed by the other side, or the test is over.
                            }
                        },
                        "peer");
        thread.setDaemon(true);
        thread.start();
    }

    /** A process that finds the one of the test in the file. */
    private Daemon startAfterPredecessor() throws Exception {
        Files.writeString(
                folder.resolve("gingerspool-n1.json"),
                "{\"v\":1,\"at\":\"127.0.0.1:"
                        + predecessor.server.getLocalPort()
                        + "\",\"token\":\"00ff\",\"suspended\":[],\"drained\":false}");
        return start(0, true, "'dueTimeMs':100", CONNECT_WITHIN);
    }

    /** Holds the process's loop from now on, until the latch is down. */
    private static CountDownLatch standStill(Daemon process) throws InterruptedException {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch goesOn = new CountDownLatch(1);
        process.loop.submit(
                () -> {
                    stands.countDown();
                    await(goesOn);
                });
        stands.await();
        return goesOn;
    }

    private static void pass(long ms) throws InterruptedException {
        new CountDownLatch(1).await(ms, TimeUnit.MILLISECONDS);
    }

    /**
     * Whether the call to take over is held up or its answer, and for how long, in milliseconds:
     * beyond the time after which it is made once more.
     */
    @DataProvider
    public Object[][] heldUp() {
        return new Object[][] {{true, 1450}, {false, 1450}, {true, 2050}, {false, 2050}};
    }

    /**
     * Guards bans and call-backs: the process before stands still when it is asked to retire, or
     * the new one when that is answered. Both go on, and the new one must know of the other: a ban
     * that it says yes to holds there as well.
     */
    @Test(dataProvider = "heldUp")
    public void whoTakesOverFromAStoppedProcessKnowsThatItLives(boolean isCall, long stopped)
            throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_WITHIN);
        ready(first);
        String note = Files.readString(note());
        Relay relay = new Relay((InetSocketAddress) first.management.address(), isCall);
        Files.writeString(
                note(),
                note.replaceAll("127.0.0.1:[0-9]+", "127.0.0.1:" + relay.server.getLocalPort()));
        Daemon second = start(port(first), true, "'dueTimeMs':100", CONNECT_WITHIN);
        assertTrue(relay.isTaken.await(FAR_BEYOND, TimeUnit.SECONDS));
        pass(stopped);
        relay.goesOn.countDown();
        ready(second);
        assertEquals(call(second, "POST", "/v1/workers/s-1/suspend"), 200);
        boolean isBanned = on(first, () -> first.scheduler.suspended().contains("s-1"));
        relay.server.close();
        assertTrue(isBanned, "yes was said to a ban that the process before knows nothing of");
        assertTrue(relay.joins.get() <= MOST_JOINS, relay.joins + " calls to join");
    }

    /** Guards bans: the process before stands still for 2 s when it is asked for its state. */
    @Test
    public void aProcessThatIsAskedWhileItStandsStillTellsItsState() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_WITHIN);
        ready(first);
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 200);
        CountDownLatch goesOn = standStill(first);
        Daemon second = start(port(first), true, "'dueTimeMs':100", CONNECT_WITHIN);
        pass(LONGEST_STOP);
        goesOn.countDown();
        ready(second);
        assertEquals(call(second, "POST", "/v1/workers/s-1/resume"), 200);
        assertTrue(on(first, () -> first.scheduler.suspended().isEmpty()), "it was not told");
    }

    /** Guards who takes over: each call of a hand-over may be made twice, as when one breaks. */
    @Test
    public void aCallToTakeOverMayBeMadeTwice() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_WITHIN);
        ready(first);
        takeFrom(first);
        String again = linkCall(first, secretOfNote(), "take", "{\"n\":0}");
        assertTrue(again.startsWith("HTTP/1.1 200 "), again);
    }

    private Path note() {
        return folder.resolve("gingerspool-n1.json");
    }

    /** Stands between the two processes; holds the first call to take over, or its answer, up. */
    private final class Relay {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final InetSocketAddress to;
        private final boolean holdsCall;
        private final AtomicInteger joins = new AtomicInteger();
        private final AtomicInteger takes = new AtomicInteger();
        private final CountDownLatch isFirstAnswered = new CountDownLatch(1);
        private final CountDownLatch isTaken = new CountDownLatch(1);
        private final CountDownLatch goesOn = new CountDownLatch(1);

        Relay(InetSocketAddress to, boolean holdsCall) throws IOException {
            this.to = to;
            this.holdsCall = holdsCall;
            acceptAll(server, this::relay);
        }

        private void relay(Socket from) throws IOException {
            while (true) {
                String call = Bench.read(from);
                joins.addAndGet(call.startsWith("POST /v1/link/join ") ? 1 : 0);
                int take = call.startsWith("POST /v1/link/take ") ? takes.incrementAndGet() : 0;
                if (take == 1) {
                    isTaken.countDown();
                }
                if (take > 0 && holdsCall) {
                    // What a stopped process has not read it reads in this order.
                    await(take == 1 ? goesOn : isFirstAnswered);
                }
                String answer = answer(call);
                if (take == 1) {
                    isFirstAnswered.countDown();
                    await(goesOn);
                }
                Bench.write(from, answer);
            }
        }

        /** On a connection of its own, which the process has had no time to close as idle. */
        private String answer(String call) throws IOException {
            try (Socket on = new Socket(to.getAddress(), to.getPort())) {
                sockets.add(on);
                Bench.write(on, call);
                return Bench.read(on);
            }
        }
    }

    /** The process before stands still at these calls, as long as it is asked. */
    @DataProvider
    public Object[][] operatorsCalls() {
        return new Object[][] {{"/v1/workers/s-1/suspend"}, {"/v1/scheduler/drain"}};
    }

    /**
     * Guards operators: the process that serves does what they ask though the old one is stopped.
     */
    @Test(dataProvider = "operatorsCalls")
    public void aCallIsAYesThoughThePredecessorIsStopped(String path) throws Exception {
        Daemon second = startAfterPredecessor();
        ready(second);
        predecessor.silentAt = "hold held word callback";
        long since = System.nanoTime();
        assertEquals(call(second, "POST", path), 200);
        assertTrue(msSince(since) < ANSWER_OWED, "the answer took over 1 s");
    }

    /**
     * Guards operators: a call waits while the process stands still, and then for a successor that
     * says nothing. Both together are within the second that is owed.
     */
    @Test(dataProvider = "operatorsCalls")
    public void aCallThatIsReadLateIsAnsweredInTime(String path) throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_WITHIN);
        ready(first);
        String secret = secretOfNote();
        takeFrom(first);
        beginLinkCall(first, secret, "hold", "");
        CountDownLatch goesOn = standStill(first);
        Socket caller = connect(first.management.address(), "POST " + path + " HTTP/1.1\r\n\r\n");
        long since = System.nanoTime();
        pass(ANSWER_OWED / 2);
        goesOn.countDown();
        Bench.read(caller);
        long took = msSince(since);
        assertTrue(took < ANSWER_OWED, "the answer came after " + took + " ms");
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
