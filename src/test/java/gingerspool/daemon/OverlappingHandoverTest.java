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
public class OverlappingHandoverTest extends HandoverRig {
    /** Operators are owed an answer by then, in nanoseconds: 1 s. */
    private static final long ANSWER_OWED = 1_000_000_000L;

    private static final long FAR_BEYOND = 10_000_000_000L;

    /** Operators' calls, by their paths. */
    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            {"/v1/workers/s-1/suspend"}, {"/v1/scheduler/drain"}, {"/v1/scheduler/activate"}
        };
    }

    /**
     * Guards operators: the second process was killed after it had the state and before it took
     * over, and every call was answered 503 from then on (`handover.joined`, then
     * `handover.notification_failed status=0` 375 to 506 times in 8 s).
     */
    @Test(dataProvider = "calls")
    public void aProcessThatEndsBeforeItTakesOverHoldsNoCallUp(String path) throws Exception {
        Daemon first = start(0, true);
        ready(first);
        String join = JOIN + "}";
        linkCall(first, secretOfNote(), "join", join);
        discovery.close();
        assertEquals(call(first, "POST", path), 200);
        assertEquals(call(first, "POST", path), 200);
    }

    /** Guards operators: the same with a process that is stopped, so that nothing refuses. */
    @Test(dataProvider = "calls")
    public void aProcessThatIsStoppedBeforeItTakesOverHoldsNoCallUp(String path) throws Exception {
        Daemon first = start(0, true);
        ready(first);
        linkCall(first, secretOfNote(), "join", JOIN + "}");
        long since = System.nanoTime();
        assertEquals(call(first, "POST", path), 200);
        assertTrue(System.nanoTime() - since < ANSWER_OWED, "the answer took over 1 s");
        // It goes on after all: it has missed a word, so it has to ask for the state again.
        String taken = linkCall(first, secretOfNote(), "take", "{\"n\":0}");
        assertTrue(taken.startsWith("HTTP/1.1 409 "), taken);
        takeFrom(first);
    }

    /** Guards operators: one that has taken over and is stopped costs a no, and that in time. */
    @Test
    public void anAnswerIsInTimeThoughTheSuccessorIsStopped() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 700);
        ready(first);
        takeFrom(first);
        Socket held = beginLinkCall(first, secretOfNote(), "hold", "");
        long since = System.nanoTime();
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 503);
        assertTrue(System.nanoTime() - since < ANSWER_OWED, "the answer took over 1 s");
        held.close();
    }

    /** Guards operators: the call waits for a loop that is late, and its time runs meanwhile. */
    @Test
    public void anAnswerIsInTimeThoughTheCallIsReadLate() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 700);
        ready(first);
        takeFrom(first);
        Socket held = beginLinkCall(first, secretOfNote(), "hold", "");
        blockLoop(first, 400);
        long since = System.nanoTime();
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 503);
        assertTrue(System.nanoTime() - since < ANSWER_OWED, "the answer took over 1 s");
        held.close();
    }

    /**
     * Guards operators: a call that is read late, beside a process that has the state and is
     * stopped, was a yes after 1.0 s: that process had its usual time, and then 0.1 s more to be
     * seen gone.
     */
    @Test
    public void aCallThatIsReadLateIsAYesInTimeThoughAProcessThatJoinedIsStopped()
            throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 700);
        ready(first);
        linkCall(first, secretOfNote(), "join", JOIN + "}");
        blockLoop(first, 700);
        long since = System.nanoTime();
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 200);
        assertTrue(System.nanoTime() - since < ANSWER_OWED, "the answer took over 1 s");
    }

    /** A client that has come to this process and has not written its request yet. */
    private Socket comes(Daemon to) throws Exception {
        Socket client = connect(to.clients.address(), "");
        until(() -> on(to, to.clients::connections) > 0, "no client was accepted");
        return client;
    }

    /**
     * Guards first requests: the successor serves, SIGTERM comes, its claim is late, the time to
     * leave is over, and a client that was let in writes. The process had closed it with the end of
     * that time (`leaving.abandoned`, then the reset, 5 to 30 ms after the request).
     */
    @Test
    public void aFirstRequestAtTheEndOfTheTimeToLeaveIsAnswered() throws Exception {
        Daemon first = start(0, true);
        ready(first);
        takeFrom(first);
        Socket client = comes(first);
        double within = on(first, () -> first.shutdownPeriod());
        on(
                first,
                () -> {
                    first.beginShutdown(first.loop.now() - within);
                    return null;
                });
        Bench.write(client, task("i1"));
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
    public void aProcessIsReadyOnceNewConnectionsComeToIt() throws Exception {
        Daemon first = start(0, true);
        ready(first);
        int port = port(first);
        Daemon second = start(port, false);
        CountDownLatch steered = new CountDownLatch(1);
        second.systemCallExecutor.execute(() -> await(steered));
        until(() -> on(second, second.clients::listens), "it does not listen");
        until(() -> "200".equals(healthz(port)), "nobody serves");
        assertEquals(call(second, "GET", "/v1/readyz"), 503);
        steered.countDown();
        ready(second);
        assertTrue(on(second, () -> second.steering.member()) >= 0);
    }

    /** Guards operators: where connections can't be had, it is ready all the same. */
    @Test
    public void aProcessIsReadyThoughItsClaimTakesForEver() throws Exception {
        Daemon first = start(0, true);
        ready(first);
        Daemon second = start(port(first), false);
        CountDownLatch never = new CountDownLatch(1);
        second.systemCallExecutor.execute(() -> await(never));
        ready(second);
        never.countDown();
    }

    /**
     * Guards first requests: the second process is replaced before it has the connections
     * (`handover.claimed all=false`), and the first closed its listener though clients came. It
     * stops once they all go to the third.
     */
    @Test
    public void theFirstOfThreeStopsOnceTheThirdHasTheClients() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 5000);
        ready(first);
        int port = port(first);
        Daemon second = start(port, false, "'dueTimeMs':100", 5000);
        CountDownLatch steered = new CountDownLatch(1);
        second.systemCallExecutor.execute(() -> await(steered));
        ready(second);
        Daemon third = start(port, false, "'dueTimeMs':100", 5000);
        ready(third);
        untilItListensNoMore(first);
        untilItListensNoMore(second);
        steered.countDown();
        assertEquals(healthz(port), "200");
    }

    /** Guards first requests: the third is killed, and the second claims anew beside the first. */
    @Test
    public void theSecondOfThreeHasTheClientsWhenTheThirdIsKilled() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 5000);
        ready(first);
        int port = port(first);
        // The first keeps a task, so it stays.
        connect(first.clients.address(), task("i1"));
        atWorker("i1");
        Daemon second = start(port, false, "'dueTimeMs':100", 5000);
        ready(second);
        Daemon third = start(port, false, "'dueTimeMs':100", 5000);
        ready(third);
        third.loop.stop();
        ready(second);
        untilItListensNoMore(first);
        assertEquals(healthz(port), "200");
        assertTrue(on(second, second.clients::listens));
    }

    /**
     * Guards the process that serves: the one before it was taken over, is to end, and loses sight
     * of its successor, after which a third may have come. It must not name itself in the file.
     */
    @Test
    public void aProcessThatIsToEndDoesNotNameItselfAgain() throws Exception {
        Daemon first = start(0, true);
        ready(first);
        int port = port(first);
        takeFrom(first);
        String secret = secretOfNote();
        Socket held = beginLinkCall(first, secret, "hold", "");
        Path note = folder.resolve("gingerspool-n1.json");
        String ofThird = Files.readString(note).replace(secret, "00ff");
        Files.writeString(note, ofThird);
        Socket client = comes(first);
        first.loop.submit(() -> first.beginShutdown(first.loop.now()));
        held.close();
        until(() -> "503".equals(healthz(port)), "it is not alone");
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
    public void ofTwoThatStartAtOnceWithoutTheOneBeforeOneAsksTheOther() throws Exception {
        Daemon gone = start(0, true);
        ready(gone);
        int port = port(gone);
        gone.loop.stop();
        thereIsOneSchedulerOf(List.of(start(port, true), start(port, true)));
    }

    /** Guards against the same where no process was before them: no file names one. */
    @Test(invocationCount = 5)
    public void ofTwoThatStartAtOnceInAnEmptyFolderOneAsksTheOther() throws Exception {
        int port = Ports.free("127.0.0.1");
        thereIsOneSchedulerOf(List.of(start(port, true), start(port, true)));
    }

    /** Both listen, one is ready, and each tells the other what operators say. */
    private void thereIsOneSchedulerOf(List<Daemon> both) throws Exception {
        for (Daemon each : both) {
            until(() -> on(each, each.clients::listens), "it does not listen");
        }
        until(() -> serving(both) == 1, "not just one of them is ready");
        for (Daemon each : both) {
            int wanted = call(each, "GET", "/v1/readyz");
            assertEquals(call(each, "POST", "/v1/workers/s-1/suspend"), 200, "ready: " + wanted);
            for (Daemon other : both) {
                assertTrue(on(other, () -> other.scheduler.suspended().contains("s-1")));
            }
            assertEquals(call(each, "POST", "/v1/workers/s-1/resume"), 200);
        }
    }

    private int serving(List<Daemon> all) throws IOException {
        int serving = 0;
        for (Daemon each : all) {
            serving += call(each, "GET", "/v1/readyz") == 200 ? 1 : 0;
        }
        return serving;
    }

    /** Guards operators: the successor is killed while a call is told to it, and it is not owed. */
    @Test
    public void aCallThatCrossesTheEndOfTheSuccessorIsAYes() throws Exception {
        Daemon first = start(0, true);
        ready(first);
        takeFrom(first);
        Socket held = beginLinkCall(first, secretOfNote(), "hold", "");
        discovery.close();
        first.loop.submit(() -> first.loop.schedule(20, () -> close(held)));
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 200);
    }

    /**
     * Guards operators: the second process is killed between taking over and holding its call open.
     * Each call was answered 503 for the 2 s until the first saw it (26 times in a play of
     * dayToDayKeepsAllRules, found by the rule OPERATORS).
     */
    @Test(dataProvider = "calls")
    public void aProcessThatEndsRightAfterItTookOverHoldsNoCallUp(String path) throws Exception {
        Daemon first = start(0, true);
        ready(first);
        takeFrom(first);
        discovery.close();
        assertEquals(call(first, "POST", path), 200);
        assertEquals(call(first, "GET", "/v1/readyz"), 200);
    }

    /**
     * Guards operators: a disk that takes its time holds no call up. A new process answered `drain`
     * 503 after 960 ms, with no word that failed (soak, seed 91022 at a load of 30).
     */
    @Test(dataProvider = "calls")
    public void anAnswerIsInTimeThoughTheFileIsNotWritten(String path) throws Exception {
        Daemon first = start(0, true);
        ready(first);
        CountDownLatch written = new CountDownLatch(1);
        first.fileExecutor.execute(() -> await(written));
        long since = System.nanoTime();
        assertEquals(call(first, "POST", path), 200);
        assertTrue(System.nanoTime() - since < ANSWER_OWED, "the answer took over 1 s");
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

    private static void until(Condition condition, String otherwise) throws Exception {
        long since = System.nanoTime();
        while (!condition.holds()) {
            assertTrue(System.nanoTime() - since < FAR_BEYOND, otherwise + " in 10 s");
        }
    }
}
