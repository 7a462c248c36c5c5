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
public class StoppedPeerTest extends HandoverTestBase {
    private static final String OK_RESPONSE_START = "HTTP/1.1 200 OK\r\nContent-Length: ";
    private static final String STATE =
            "{\"v\":1,\"suspended\":[],\"drained\":false,\"discovery\":\"\","
                    + "\"list\":{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"s-1\","
                    + "\"dial\":\"127.0.0.1:9\",\"site\":\"a\",\"class\":\"m\",\"block\":0,"
                    + "\"health\":\"SERVING\",\"share\":4,\"born_ms\":0}]}}";

    /** Operators are owed an answer by then, in milliseconds. */
    private static final long MAX_ANSWER_MS = 1000;

    /** A connection to another process comes up within this, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MS = 250;

    /** No process of these tests stands still for longer, in milliseconds. */
    private static final long MAX_STOP_MS = 2000;

    /** A process that has to wait for another one asks every 50 ms, for 2 s here. */
    private static final int MAX_JOIN_CALLS = 50;

    private static final long AWAIT_TIMEOUT_S = 10;

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
        private volatile String unansweredCalls = "hold";

        Predecessor() throws IOException {
            acceptAll(server, this::serve);
        }

        private void serve(Socket s) throws IOException {
            while (true) {
                String name = Bench.read(s).replaceAll("(?s)POST /v1/link/([a-z]+) .*", "$1");
                if (unansweredCalls.contains(name)) {
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
            return OK_RESPONSE_START + body.length() + "\r\n\r\n" + body;
        }
    }

    private interface ConnectionHandler {
        void handle(Socket s) throws IOException;
    }

    /** Serves each connection on a thread of its own, until the socket is closed. */
    private void acceptAll(ServerSocket server, ConnectionHandler service) {
        startThread(
                () -> {
                    while (true) {
                        Socket s = server.accept();
                        sockets.add(s);
                        startThread(() -> service.handle(s));
                    }
                });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask step) {
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
    private Daemon startSuccessor() throws Exception {
        Files.writeString(
                folder.resolve("gingerspool-n1.json"),
                "{\"v\":1,\"at\":\"127.0.0.1:"
                        + predecessor.server.getLocalPort()
                        + "\",\"token\":\"00ff\",\"suspended\":[],\"drained\":false}");
        return start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
    }

    /** Holds the process's loop from now on, until the latch is down. */
    private static CountDownLatch blockLoopUntilReleased(Daemon process)
            throws InterruptedException {
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

    private static void sleep(long ms) throws InterruptedException {
        new CountDownLatch(1).await(ms, TimeUnit.MILLISECONDS);
    }

    /**
     * Whether the call to take over is held up or its answer, and for how long, in milliseconds:
     * beyond the time after which it is made once more.
     */
    @DataProvider
    public Object[][] takeDelays() {
        return new Object[][] {{true, 1450}, {false, 1450}, {true, 2050}, {false, 2050}};
    }

    /**
     * Guards bans and call-backs: the process before stands still when it is asked to retire, or
     * the new one when that is answered. Both go on, and the new one must know of the other: a ban
     * that it says yes to holds there as well.
     */
    @Test(dataProvider = "takeDelays")
    public void successorOfAStoppedProcessKnowsThatItStillRuns(boolean isCall, long stopped)
            throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        String note = Files.readString(handoverFile());
        Relay relay = new Relay((InetSocketAddress) first.management.address(), isCall);
        Files.writeString(
                handoverFile(),
                note.replaceAll("127.0.0.1:[0-9]+", "127.0.0.1:" + relay.server.getLocalPort()));
        Daemon second = start(clientPort(first), true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        assertTrue(relay.firstTakeReceived.await(AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        sleep(stopped);
        relay.released.countDown();
        awaitReady(second);
        assertEquals(call(second, "POST", "/v1/workers/s-1/suspend"), 200);
        boolean isBanned = onLoop(first, () -> first.scheduler.suspended().contains("s-1"));
        relay.server.close();
        assertTrue(isBanned, "yes was said to a ban that the process before knows nothing of");
        assertTrue(relay.joinCalls.get() <= MAX_JOIN_CALLS, relay.joinCalls + " calls to join");
    }

    /** Guards bans: the process before stands still for 2 s when it is asked for its state. */
    @Test
    public void processStoppedAtTheJoinCallSendsItsStateLater() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 200);
        CountDownLatch goesOn = blockLoopUntilReleased(first);
        Daemon second = start(clientPort(first), true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        sleep(MAX_STOP_MS);
        goesOn.countDown();
        awaitReady(second);
        assertEquals(call(second, "POST", "/v1/workers/s-1/resume"), 200);
        assertTrue(onLoop(first, () -> first.scheduler.suspended().isEmpty()), "it was not told");
    }

    /** Guards who takes over: each call of a hand-over may be made twice, as when one breaks. */
    @Test
    public void takeCallMayBeRepeated() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        takeOverFrom(first);
        String again = handoverCall(first, tokenInHandoverFile(), "take", "{\"n\":0}");
        assertTrue(again.startsWith("HTTP/1.1 200 "), again);
    }

    private Path handoverFile() {
        return folder.resolve("gingerspool-n1.json");
    }

    /** Stands between the two processes; holds the first call to take over, or its answer, up. */
    private final class Relay {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final InetSocketAddress target;
        private final boolean delaysCall;
        private final AtomicInteger joinCalls = new AtomicInteger();
        private final AtomicInteger takeCalls = new AtomicInteger();
        private final CountDownLatch firstTakeAnswered = new CountDownLatch(1);
        private final CountDownLatch firstTakeReceived = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        Relay(InetSocketAddress to, boolean holdsCall) throws IOException {
            this.target = to;
            this.delaysCall = holdsCall;
            acceptAll(server, this::relay);
        }

        private void relay(Socket from) throws IOException {
            while (true) {
                String call = Bench.read(from);
                joinCalls.addAndGet(call.startsWith("POST /v1/link/join ") ? 1 : 0);
                int take = call.startsWith("POST /v1/link/take ") ? takeCalls.incrementAndGet() : 0;
                if (take == 1) {
                    firstTakeReceived.countDown();
                }
                if (take > 0 && delaysCall) {
                    // What a stopped process has not read it reads in this order.
                    await(take == 1 ? released : firstTakeAnswered);
                }
                String answer = forward(call);
                if (take == 1) {
                    firstTakeAnswered.countDown();
                    await(released);
                }
                Bench.write(from, answer);
            }
        }

        /** On a connection of its own, which the process has had no time to close as idle. */
        private String forward(String call) throws IOException {
            try (Socket on = new Socket(target.getAddress(), target.getPort())) {
                sockets.add(on);
                Bench.write(on, call);
                return Bench.read(on);
            }
        }
    }

    /** The process before stands still at these calls, as long as it is asked. */
    @DataProvider
    public Object[][] operatorCalls() {
        return new Object[][] {{"/v1/workers/s-1/suspend"}, {"/v1/scheduler/drain"}};
    }

    /**
     * Guards operators: the process that serves does what they ask though the old one is stopped.
     */
    @Test(dataProvider = "operatorCalls")
    public void aCallIsAYesThoughThePredecessorIsStopped(String path) throws Exception {
        Daemon second = startSuccessor();
        awaitReady(second);
        predecessor.unansweredCalls = "hold held word callback";
        long since = System.nanoTime();
        assertEquals(call(second, "POST", path), 200);
        assertTrue(msSince(since) < MAX_ANSWER_MS, "the answer took over 1 s");
    }

    /**
     * Guards operators: a call waits while the process stands still, and then for a successor that
     * says nothing. Both together are within the second that is owed.
     */
    @Test(dataProvider = "operatorCalls")
    public void callReadLateIsAnsweredInTime(String path) throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        String secret = tokenInHandoverFile();
        takeOverFrom(first);
        sendHandoverCall(first, secret, "hold", "");
        CountDownLatch goesOn = blockLoopUntilReleased(first);
        Socket caller = connect(first.management.address(), "POST " + path + " HTTP/1.1\r\n\r\n");
        long since = System.nanoTime();
        sleep(MAX_ANSWER_MS / 2);
        goesOn.countDown();
        Bench.read(caller);
        long took = msSince(since);
        assertTrue(took < MAX_ANSWER_MS, "the answer came after " + took + " ms");
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
