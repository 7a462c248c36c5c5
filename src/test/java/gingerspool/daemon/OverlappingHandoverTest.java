package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Bench;
import gingerspool.peers.Ports;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replacements that are late, overlap the end of a process or each other, or stop half way. */
public class OverlappingHandoverTest extends HandoverTestBase {
    /** Operators are owed an answer by then, in nanoseconds: 1 s. */
    private static final long MAX_ANSWER_NANOS = 1_000_000_000L;

    private static final long AWAIT_TIMEOUT_NANOS = 10_000_000_000L;

    /** Operators' calls, by their paths. */
    @DataProvider
    public Object[][] operatorCalls() {
        return new Object[][] {
            {"/v1/workers/s-1/suspend"}, {"/v1/scheduler/drain"}, {"/v1/scheduler/activate"}
        };
    }

    /**
     * Guards operators: the second process was killed after it had the state and before it took
     * over, and every call was answered 503 from then on (`handover.joined`, then
     * `handover.notification_failed status=0` 375 to 506 times in 8 s).
     */
    @Test(dataProvider = "operatorCalls")
    public void callsSucceedAfterTheJoinedProcessEnded(String path) throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        String join = JOIN_BODY_START + "}";
        handoverCall(first, tokenInHandoverFile(), "join", join);
        discovery.close();
        assertEquals(call(first, "POST", path), 200);
        assertEquals(call(first, "POST", path), 200);
    }

    /** Guards operators: the same with a process that is stopped, so that nothing refuses. */
    @Test(dataProvider = "operatorCalls")
    public void callSucceedsThoughTheJoinedProcessIsStopped(String path) throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        handoverCall(first, tokenInHandoverFile(), "join", JOIN_BODY_START + "}");
        long since = System.nanoTime();
        assertEquals(call(first, "POST", path), 200);
        assertTrue(System.nanoTime() - since < MAX_ANSWER_NANOS, "the answer took over 1 s");
        // It goes on after all: it has missed a word, so it has to ask for the state again.
        String taken = handoverCall(first, tokenInHandoverFile(), "take", "{\"n\":0}");
        assertTrue(taken.startsWith("HTTP/1.1 409 "), taken);
        takeOverFrom(first);
    }

    /** Guards operators: one that has taken over and is stopped costs a no, and that in time. */
    @Test
    public void callIsRefusedInTimeIfTheSuccessorIsStopped() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 700);
        awaitReady(first);
        takeOverFrom(first);
        Socket held = sendHandoverCall(first, tokenInHandoverFile(), "hold", "");
        long since = System.nanoTime();
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 503);
        assertTrue(System.nanoTime() - since < MAX_ANSWER_NANOS, "the answer took over 1 s");
        held.close();
    }

    /** Guards operators: the call waits for a loop that is late, and its time runs meanwhile. */
    @Test
    public void callReadLateIsRefusedInTimeIfTheSuccessorIsStopped() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 700);
        awaitReady(first);
        takeOverFrom(first);
        Socket held = sendHandoverCall(first, tokenInHandoverFile(), "hold", "");
        blockLoop(first, 400);
        long since = System.nanoTime();
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 503);
        assertTrue(System.nanoTime() - since < MAX_ANSWER_NANOS, "the answer took over 1 s");
        held.close();
    }

    /**
     * Guards operators: a call that is read late, beside a process that has the state and is
     * stopped, was a yes after 1.0 s: that process had its usual time, and then 0.1 s more to be
     * seen gone.
     */
    @Test
    public void callReadLateSucceedsInTimeThoughTheJoinedProcessIsStopped() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 700);
        awaitReady(first);
        handoverCall(first, tokenInHandoverFile(), "join", JOIN_BODY_START + "}");
        blockLoop(first, 700);
        long since = System.nanoTime();
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 200);
        assertTrue(System.nanoTime() - since < MAX_ANSWER_NANOS, "the answer took over 1 s");
    }

    /** A client that has come to this process and has not written its request yet. */
    private Socket connectClient(Daemon to) throws Exception {
        Socket client = connect(to.clients.address(), "");
        awaitCondition(() -> onLoop(to, to.clients::connections) > 0, "no client was accepted");
        return client;
    }

    /**
     * Guards first requests: the successor serves, SIGTERM comes, its claim is late, the time to
     * leave is over, and a client that was let in writes. The process had closed it with the end of
     * that time (`leaving.abandoned`, then the reset, 5 to 30 ms after the request).
     */
    @Test
    public void firstRequestAtTheEndOfTheShutdownPeriodIsAnswered() throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        takeOverFrom(first);
        Socket client = connectClient(first);
        double within = onLoop(first, () -> first.shutdownPeriod());
        onLoop(
                first,
                () -> {
                    first.beginShutdown(first.loop.now() - within);
                    return null;
                });
        Bench.write(client, taskRequest("i1"));
        String answer = Bench.read(client);
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(answer.contains("Connection: close\r\n"), answer);
        client.close();
        assertTrue(first.exitLatch.await(10, TimeUnit.SECONDS));
    }

    /**
     * Guards first requests: operators end the process before as soon as this one says yes, so it
     * says so once new connections come here. It takes clients all the while.
     */
    @Test
    public void successorIsReadyOnceItGetsNewConnections() throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        int port = clientPort(first);
        Daemon second = start(port, false);
        CountDownLatch steered = new CountDownLatch(1);
        second.systemCallExecutor.execute(() -> await(steered));
        awaitCondition(() -> onLoop(second, second.clients::listens), "it does not listen");
        awaitCondition(() -> "200".equals(healthStatus(port)), "nobody serves");
        assertEquals(call(second, "GET", "/v1/readyz"), 503);
        steered.countDown();
        awaitReady(second);
        assertTrue(onLoop(second, () -> second.steering.member()) >= 0);
    }

    /** Guards operators: where connections can't be had, it is ready all the same. */
    @Test
    public void successorBecomesReadyThoughItsClaimNeverEnds() throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        Daemon second = start(clientPort(first), false);
        CountDownLatch never = new CountDownLatch(1);
        second.systemCallExecutor.execute(() -> await(never));
        awaitReady(second);
        never.countDown();
    }

    /**
     * Guards first requests: the second process is replaced before it has the connections
     * (`handover.claimed all=false`), and the first closed its listener though clients came. It
     * stops once they all go to the third.
     */
    @Test
    public void firstOfThreeStopsListeningOnceTheThirdServes() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 5000);
        awaitReady(first);
        int port = clientPort(first);
        Daemon second = start(port, false, "'dueTimeMs':100", 5000);
        CountDownLatch steered = new CountDownLatch(1);
        second.systemCallExecutor.execute(() -> await(steered));
        awaitReady(second);
        Daemon third = start(port, false, "'dueTimeMs':100", 5000);
        awaitReady(third);
        awaitListenerClosed(first);
        awaitListenerClosed(second);
        steered.countDown();
        assertEquals(healthStatus(port), "200");
    }

    /** Guards first requests: the third is killed, and the second claims anew beside the first. */
    @Test
    public void secondOfThreeServesAgainIfTheThirdIsKilled() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 5000);
        awaitReady(first);
        int port = clientPort(first);
        // The first keeps a task, so it stays.
        connect(first.clients.address(), taskRequest("i1"));
        acceptAtWorker("i1");
        Daemon second = start(port, false, "'dueTimeMs':100", 5000);
        awaitReady(second);
        Daemon third = start(port, false, "'dueTimeMs':100", 5000);
        awaitReady(third);
        third.loop.stop();
        awaitReady(second);
        awaitListenerClosed(first);
        assertEquals(healthStatus(port), "200");
        assertTrue(onLoop(second, second.clients::listens));
    }

    /**
     * Guards the process that serves: the one before it was taken over, is to end, and loses sight
     * of its successor, after which a third may have come. It must not name itself in the file.
     */
    @Test
    public void processShuttingDownDoesNotRewriteTheHandoverFile() throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        int port = clientPort(first);
        takeOverFrom(first);
        String secret = tokenInHandoverFile();
        Socket held = sendHandoverCall(first, secret, "hold", "");
        Path note = folder.resolve("gingerspool-n1.json");
        String ofThird = Files.readString(note).replace(secret, "00ff");
        Files.writeString(note, ofThird);
        Socket client = connectClient(first);
        first.loop.submit(() -> first.beginShutdown(first.loop.now()));
        held.close();
        awaitCondition(() -> "503".equals(healthStatus(port)), "it is not alone");
        first.fileExecutor.submit(() -> {}).get();
        assertEquals(Files.readString(note), ofThird);
        client.close();
    }

    /**
     * Guards against two schedulers of one name: two processes start at once when the one before
     * has gone. Both found nobody where the file points (`handover.no_state why="no answer"`) and
     * served beside each other without each other's bans (soak, seed 18).
     */
    @Test(invocationCount = 5)
    public void oneOfTwoProcessesStartedAtOnceAfterAKillJoinsTheOther() throws Exception {
        Daemon gone = start(0, true);
        awaitReady(gone);
        int port = clientPort(gone);
        gone.loop.stop();
        assertActAsOneScheduler(List.of(start(port, true), start(port, true)));
    }

    /** Guards against the same where no process was before them: no file names one. */
    @Test(invocationCount = 5)
    public void oneOfTwoProcessesStartedAtOnceInAnEmptyFolderJoinsTheOther() throws Exception {
        int port = Ports.free("127.0.0.1");
        assertActAsOneScheduler(List.of(start(port, true), start(port, true)));
    }

    /** Both listen, one is ready, and each tells the other what operators say. */
    private void assertActAsOneScheduler(List<Daemon> both) throws Exception {
        for (Daemon each : both) {
            awaitCondition(() -> onLoop(each, each.clients::listens), "it does not listen");
        }
        awaitCondition(() -> countReady(both) == 1, "not just one of them is ready");
        for (Daemon each : both) {
            int wanted = call(each, "GET", "/v1/readyz");
            assertEquals(call(each, "POST", "/v1/workers/s-1/suspend"), 200, "ready: " + wanted);
            for (Daemon other : both) {
                assertTrue(onLoop(other, () -> other.scheduler.suspended().contains("s-1")));
            }
            assertEquals(call(each, "POST", "/v1/workers/s-1/resume"), 200);
        }
    }

    private int countReady(List<Daemon> all) throws IOException {
        int serving = 0;
        for (Daemon each : all) {
            serving += call(each, "GET", "/v1/readyz") == 200 ? 1 : 0;
        }
        return serving;
    }

    /** Guards operators: the successor is killed while a call is told to it, and it is not owed. */
    @Test
    public void callSucceedsIfTheSuccessorEndsMeanwhile() throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        takeOverFrom(first);
        Socket held = sendHandoverCall(first, tokenInHandoverFile(), "hold", "");
        discovery.close();
        first.loop.submit(() -> first.loop.schedule(20, () -> close(held)));
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 200);
    }

    /**
     * Guards operators: the second process is killed between taking over and holding its call open.
     * Each call was answered 503 for the 2 s until the first saw it (26 times in a play of
     * dayToDayKeepsAllRules, found by the rule OPERATORS).
     */
    @Test(dataProvider = "operatorCalls")
    public void callSucceedsIfTheSuccessorEndedBeforeItsHoldCall(String path) throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        takeOverFrom(first);
        discovery.close();
        assertEquals(call(first, "POST", path), 200);
        assertEquals(call(first, "GET", "/v1/readyz"), 200);
    }

    /**
     * Guards operators: a disk that takes its time holds no call up. A new process answered `drain`
     * 503 after 960 ms, with no word that failed (soak, seed 91022 at a load of 30).
     */
    @Test(dataProvider = "operatorCalls")
    public void callIsAnsweredInTimeThoughTheFileIsNotWritten(String path) throws Exception {
        Daemon first = start(0, true);
        awaitReady(first);
        CountDownLatch written = new CountDownLatch(1);
        first.fileExecutor.execute(() -> await(written));
        long since = System.nanoTime();
        assertEquals(call(first, "POST", path), 200);
        assertTrue(System.nanoTime() - since < MAX_ANSWER_NANOS, "the answer took over 1 s");
        written.countDown();
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private static void awaitCondition(Condition condition, String otherwise) throws Exception {
        long since = System.nanoTime();
        while (!condition.holds()) {
            assertTrue(System.nanoTime() - since < AWAIT_TIMEOUT_NANOS, otherwise + " in 10 s");
        }
    }
}
