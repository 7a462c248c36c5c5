package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.DispatcherHarness;
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
 * Hand-overs in which one of the two processes is stopped for a while at a certain step, and
 * resumes. A daemon is stopped by a task that blocks its loop. In some tests the test itself plays
 * the other process, or relays the calls between two daemons and delays one of them.
 */
public class StoppedPeerTest extends HandoverTestBase {
    private static final String OK_RESPONSE_START = "HTTP/1.1 200 OK\r\nContent-Length: ";

    /** The predecessor's state, as its answer to a `join` call. */
    private static final String STATE =
            "{\"v\":1,\"suspended\":[],\"drained\":false,\"discovery\":\"\","
                    + "\"list\":{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"s-1\","
                    + "\"dial\":\"127.0.0.1:9\",\"site\":\"a\",\"class\":\"m\",\"block\":0,"
                    + "\"health\":\"SERVING\",\"share\":4,\"born_ms\":0}]}}";

    /** Operators are promised an answer within this time. */
    private static final long MAX_ANSWER_MS = 1000;

    /** How long a daemon may take to connect to another process. */
    private static final int CONNECT_TIMEOUT_MS = 250;

    /** The maximum time for which a daemon is stopped. */
    private static final long MAX_STOP_MS = 2000;

    /** A process that waits for its predecessor requests the state every 50 ms, here for 2 s. */
    private static final int MAX_JOIN_CALLS = 50;

    /** Far longer than what is awaited takes. */
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

    /** A predecessor that the test plays: answers all hand-over calls but the ones listed. */
    private final class Predecessor {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        /** The names of the calls that get no answer. */
        private volatile String unansweredCalls = "hold";

        Predecessor() throws IOException {
            acceptAll(server, this::serve);
        }

        private void serve(Socket s) throws IOException {
            while (true) {
                String call =
                        DispatcherHarness.readMessage(s)
                                .replaceAll("(?s)POST /v1/link/([a-z]+) .*", "$1");
                if (unansweredCalls.contains(call)) {
                    return;
                }
                DispatcherHarness.write(s, answer(call));
            }
        }

        private String answer(String call) {
            String body =
                    call.equals("join")
                            ? STATE
                            : call.equals("take") || call.equals("held")
                                    ? "{\"descriptors\":30,\"listener\":0}"
                                    : "";
            return OK_RESPONSE_START + body.length() + "\r\n\r\n" + body;
        }
    }

    private interface ConnectionHandler {
        void handle(Socket s) throws IOException;
    }

    /** Handles each connection on its own thread, until the listening socket is closed. */
    private void acceptAll(ServerSocket server, ConnectionHandler handler) {
        startThread(
                () -> {
                    while (true) {
                        Socket s = server.accept();
                        sockets.add(s);
                        startThread(() -> handler.handle(s));
                    }
                });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The other side has closed the connection, or the test has ended.
                            }
                        },
                        "peer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Starts a daemon whose hand-over file names the predecessor that the test plays. */
    private Daemon startSuccessor() throws Exception {
        Files.writeString(
                folder.resolve("gingerspool-n1.json"),
                "{\"v\":1,\"at\":\"127.0.0.1:"
                        + predecessor.server.getLocalPort()
                        + "\",\"token\":\"00ff\",\"suspended\":[],\"drained\":false}");
        return start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
    }

    /** Blocks the daemon's loop until the returned latch is counted down. */
    private static CountDownLatch blockLoopUntilReleased(Daemon daemon)
            throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        daemon.loop.submit(
                () -> {
                    blocked.countDown();
                    await(release);
                });
        blocked.await();
        return release;
    }

    private static void sleep(long ms) throws InterruptedException {
        new CountDownLatch(1).await(ms, TimeUnit.MILLISECONDS);
    }

    /**
     * Whether the first `take` call is delayed or its answer, and for how long, in milliseconds:
     * longer than the time after which the call is repeated.
     */
    @DataProvider
    public Object[][] takeDelays() {
        return new Object[][] {{true, 1450}, {false, 1450}, {true, 2050}, {false, 2050}};
    }

    /**
     * Guards suspensions and callbacks: the predecessor is stopped when it is asked to retire, or
     * the successor when the answer arrives. Both resume, and the successor must know that its
     * predecessor runs: a suspension that it confirms must apply there as well.
     */
    @Test(dataProvider = "takeDelays")
    public void successorOfAStoppedProcessKnowsThatItStillRuns(boolean delaysCall, long delayMs)
            throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        String content = Files.readString(handoverFile());
        Relay relay = new Relay((InetSocketAddress) first.management.address(), delaysCall);
        Files.writeString(
                handoverFile(),
                content.replaceAll("127.0.0.1:[0-9]+", "127.0.0.1:" + relay.server.getLocalPort()));
        Daemon second = start(clientPort(first), true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        assertTrue(relay.firstTakeReceived.await(AWAIT_TIMEOUT_S, TimeUnit.SECONDS));
        sleep(delayMs);
        relay.released.countDown();
        awaitReady(second);
        assertEquals(call(second, "POST", "/v1/workers/s-1/suspend"), 200);
        boolean isSuspended = onLoop(first, () -> first.scheduler.suspended().contains("s-1"));
        relay.server.close();
        assertTrue(isSuspended, "a suspension was confirmed that the predecessor does not know");
        assertTrue(relay.joinCalls.get() <= MAX_JOIN_CALLS, relay.joinCalls + " join calls");
    }

    /** Guards suspensions: the predecessor is stopped for 2 s when its state is requested. */
    @Test
    public void processStoppedAtTheJoinCallSendsItsStateLater() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 200);
        CountDownLatch release = blockLoopUntilReleased(first);
        Daemon second = start(clientPort(first), true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        sleep(MAX_STOP_MS);
        release.countDown();
        awaitReady(second);
        assertEquals(call(second, "POST", "/v1/workers/s-1/resume"), 200);
        assertTrue(
                onLoop(first, () -> first.scheduler.suspended().isEmpty()),
                "the predecessor was not notified");
    }

    /** Any hand-over call may be repeated, for example when its connection breaks. */
    @Test
    public void takeCallMayBeRepeated() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        takeOverFrom(first);
        String response = handoverCall(first, tokenInHandoverFile(), "take", "{\"n\":0}");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
    }

    private Path handoverFile() {
        return folder.resolve("gingerspool-n1.json");
    }

    /**
     * Relays hand-over calls from the successor to the predecessor. Delays the first `take` call or
     * its answer until it is released.
     */
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

        Relay(InetSocketAddress target, boolean delaysCall) throws IOException {
            this.target = target;
            this.delaysCall = delaysCall;
            acceptAll(server, this::relay);
        }

        private void relay(Socket from) throws IOException {
            while (true) {
                String call = DispatcherHarness.readMessage(from);
                joinCalls.addAndGet(call.startsWith("POST /v1/link/join ") ? 1 : 0);
                int takeNumber =
                        call.startsWith("POST /v1/link/take ") ? takeCalls.incrementAndGet() : 0;
                if (takeNumber == 1) {
                    firstTakeReceived.countDown();
                }
                if (takeNumber > 0 && delaysCall) {
                    // A process that resumes reads the calls in the order of their arrival.
                    await(takeNumber == 1 ? released : firstTakeAnswered);
                }
                String answer = forward(call);
                if (takeNumber == 1) {
                    firstTakeAnswered.countDown();
                    await(released);
                }
                DispatcherHarness.write(from, answer);
            }
        }

        /** Uses a new connection, as the process may be closing an idle one. */
        private String forward(String call) throws IOException {
            try (Socket connection = new Socket(target.getAddress(), target.getPort())) {
                sockets.add(connection);
                DispatcherHarness.write(connection, call);
                return DispatcherHarness.readMessage(connection);
            }
        }
    }

    /** The paths of operators' calls. */
    @DataProvider
    public Object[][] operatorCalls() {
        return new Object[][] {{"/v1/workers/s-1/suspend"}, {"/v1/scheduler/drain"}};
    }

    /**
     * Operators' calls to the serving process succeed in time though its predecessor is stopped.
     */
    @Test(dataProvider = "operatorCalls")
    public void aCallIsAYesThoughThePredecessorIsStopped(String path) throws Exception {
        Daemon second = startSuccessor();
        awaitReady(second);
        predecessor.unansweredCalls = "hold held word callback";
        long since = System.nanoTime();
        assertEquals(call(second, "POST", path), 200);
        assertTrue(msSince(since) < MAX_ANSWER_MS, "the answer took more than 1 s");
    }

    /**
     * A call waits until the stopped process resumes, and then for a successor that does not
     * answer. Both together must stay within the promised second.
     */
    @Test(dataProvider = "operatorCalls")
    public void callReadLateIsAnsweredInTime(String path) throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", CONNECT_TIMEOUT_MS);
        awaitReady(first);
        String token = tokenInHandoverFile();
        takeOverFrom(first);
        sendHandoverCall(first, token, "hold", "");
        CountDownLatch release = blockLoopUntilReleased(first);
        Socket caller = connect(first.management.address(), "POST " + path + " HTTP/1.1\r\n\r\n");
        long since = System.nanoTime();
        sleep(MAX_ANSWER_MS / 2);
        release.countDown();
        DispatcherHarness.readMessage(caller);
        long took = msSince(since);
        assertTrue(took < MAX_ANSWER_MS, "the answer came after " + took + " ms");
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
