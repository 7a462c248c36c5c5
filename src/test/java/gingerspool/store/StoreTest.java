package gingerspool.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.DispatcherHarness;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.LoadReport;
import gingerspool.wire.Message;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how attempts end, and the bookkeeping of tasks, workers and idle timeouts. */
public class StoreTest implements WorkerAttempt.Owner {
    private final List<String> events = new ArrayList<>();
    private WorkerAttempt attempt;

    @BeforeMethod
    public void begin() throws BadMessage {
        events.clear();
        attempt =
                new WorkerAttempt(
                        DispatcherHarness.assignment(task("t1", ""), 0, 0),
                        new LoadReport("", ""),
                        this);
        attempt.begin(null, null);
    }

    private static ClientTask task(String id, String body) throws BadMessage {
        return new ClientTask(
                id,
                null,
                read(
                        Message.request(),
                        "POST /p HTTP/1.1\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body));
    }

    private static Message read(Message message, String text) throws BadMessage {
        message.take(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
        return message;
    }

    private static Message response(int status) throws BadMessage {
        return read(Message.answer(null), "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    }

    @Override
    public void ended(WorkerAttempt ended, Outcome outcome, double[] report) {
        events.add(outcome.toString());
    }

    @Override
    public void cancelOnWorker(WorkerAttempt abandoned) {
        events.add("cancel on worker");
    }

    @Test
    public void callbackBeforeResponseDecidesTheOutcome() throws BadMessage {
        attempt.callbackReceived(Outcome.OK, null);
        attempt.answered(response(202));
        attempt.broke(true);
        assertEquals(events, List.of("OK"));
    }

    @Test
    public void callbackAfterLostResponseIsIgnored() {
        attempt.broke(true);
        attempt.callbackReceived(Outcome.OK, null);
        assertEquals(events, List.of("RESET"));
    }

    /**
     * Guards rule two: a request whose connection broke before its last byte was written never ran;
     * one whose connection broke later may have run.
     */
    @Test
    public void partiallyWrittenRequestIsUnreachable() {
        attempt.broke(false);
        assertEquals(events, List.of("UNREACHABLE"));
    }

    @Test
    public void brokenConnectionAfterAcceptanceIsIgnored() throws BadMessage {
        attempt.answered(response(202));
        attempt.broke(true);
        attempt.callbackReceived(Outcome.ERROR, null);
        attempt.callbackReceived(Outcome.OK, null);
        assertEquals(events, List.of("ERROR"));
    }

    @Test
    public void timeoutAfterAcceptanceCancelsOnWorkerFirst() throws BadMessage {
        attempt.answered(response(202));
        attempt.abort(Outcome.TIMEOUT);
        attempt.callbackReceived(Outcome.OK, null);
        attempt.abort(Outcome.CANCELLED);
        assertEquals(events, List.of("cancel on worker", "TIMEOUT"));
    }

    @Test
    public void registryIsBoundedInTasksAndBytes() throws BadMessage {
        TaskRegistry tasks = new TaskRegistry(2, 10);
        tasks.add(task("a", "12345678"));
        assertTrue(tasks.hasRoomFor(2));
        assertFalse(tasks.hasRoomFor(3));
        tasks.add(task("b", ""));
        assertFalse(tasks.hasRoomFor(0));
    }

    @Test
    public void taskIsReleasedOnlyOnceEnded() throws BadMessage {
        TaskRegistry tasks = new TaskRegistry(1, 10);
        ClientTask task = task("a", "12345678");
        tasks.add(task);
        tasks.release(task);
        assertEquals(tasks.find("a"), task);
        DispatcherHarness.markEnded(task);
        tasks.release(task);
        assertNull(tasks.find("a"));
        assertTrue(tasks.hasRoomFor(10));
    }

    /**
     * Guards against reusing connections that workers have dropped early: on service days, a
     * quarter of the connections that had been idle for 0.1 s broke on reuse.
     */
    @Test
    public void failedReuseReducesIdleTimeout() {
        IdleTimeout idleTimeout = new IdleTimeout(3000);
        assertEquals(idleTimeout.currentMs(9000), 3000.0);
        idleTimeout.reuseFailed(9000, 200);
        assertEquals(idleTimeout.currentMs(9000), 100.0);
        idleTimeout.reuseFailed(9000, 0);
        assertTrue(idleTimeout.currentMs(9000) > 0, "a timeout of 0 could not recover");
        idleTimeout.reuseFailed(9000, 1);
        assertEquals(idleTimeout.currentMs(9000 + 10 * 3000), 3000.0);
    }

    @Test
    public void workerKeepsItsIndexWhenItsAddressChanges() throws BadMessage {
        WorkerDirectory workers = new WorkerDirectory();
        assertEquals(workers.findOrAdd("a"), 0);
        assertEquals(workers.findOrAdd("b"), 1);
        assertEquals(workers.findOrAdd("a"), 0);
        assertEquals(workers.find("c"), -1);
        assertTrue(workers.setAddress(0, Address.read("127.0.0.1:1")));
        assertFalse(workers.setAddress(0, Address.read("127.0.0.1:1")));
        assertFalse(workers.setAddress(0, null));
        assertTrue(workers.setState(0, 2));
        assertFalse(workers.setState(0, 2));
    }
}
