package gingerspool.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Bench;
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

public class StoreTest implements WorkerAttempt.Owner {
    private final List<String> heard = new ArrayList<>();
    private WorkerAttempt attempt;

    @BeforeMethod
    public void begin() throws BadMessage {
        heard.clear();
        attempt =
                new WorkerAttempt(
                        Bench.assignment(task("t1", ""), 0, 0), new LoadReport("", ""), this);
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

    private static Message read(Message m, String text) throws BadMessage {
        m.take(text.getBytes(StandardCharsets.ISO_8859_1), 0, text.length());
        return m;
    }

    private static Message answer(int status) throws BadMessage {
        return read(Message.answer(null), "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    }

    @Override
    public void ended(WorkerAttempt e, Outcome how, double[] report) {
        heard.add(how.toString());
    }

    @Override
    public void giveUp(WorkerAttempt e) {
        heard.add("give up");
    }

    @Test
    public void aCallBackBeforeTheAnswerCounts() throws BadMessage {
        attempt.told(Outcome.OK, null);
        attempt.answered(answer(202));
        attempt.broke(true);
        assertEquals(heard, List.of("OK"));
    }

    @Test
    public void aLostAnswerIsAResetWhateverACallBackSaysLater() {
        attempt.broke(true);
        attempt.told(Outcome.OK, null);
        assertEquals(heard, List.of("RESET"));
    }

    /**
     * Guards rule two: what broke before its last byte was written never ran, what broke after may
     * have.
     */
    @Test
    public void aRequestThatWasNotWrittenWholeNeverRan() {
        attempt.broke(false);
        assertEquals(heard, List.of("UNREACHABLE"));
    }

    @Test
    public void onceTakenTheConnectionNoLongerMatters() throws BadMessage {
        attempt.answered(answer(202));
        attempt.broke(true);
        attempt.told(Outcome.ERROR, null);
        attempt.told(Outcome.OK, null);
        assertEquals(heard, List.of("ERROR"));
    }

    @Test
    public void aTimeOutAfterTheAnswerIsGivenUpOnTheWireFirst() throws BadMessage {
        attempt.answered(answer(202));
        attempt.giveUp(Outcome.TIMEOUT);
        attempt.told(Outcome.OK, null);
        attempt.giveUp(Outcome.CANCELLED);
        assertEquals(heard, List.of("give up", "TIMEOUT"));
    }

    @Test
    public void aHandHasRoomForSoManyTasksAndBytes() throws BadMessage {
        TaskRegistry tasks = new TaskRegistry(2, 10);
        tasks.add(task("a", "12345678"));
        assertTrue(tasks.hasRoomFor(2));
        assertFalse(tasks.hasRoomFor(3));
        tasks.add(task("b", ""));
        assertFalse(tasks.hasRoomFor(0));
    }

    @Test
    public void aTaskIsLetGoOnlyOnceItHasItsAnswer() throws BadMessage {
        TaskRegistry tasks = new TaskRegistry(1, 10);
        ClientTask t = task("a", "12345678");
        tasks.add(t);
        tasks.release(t);
        assertEquals(tasks.find("a"), t);
        Bench.end(t);
        tasks.release(t);
        assertNull(tasks.find("a"));
        assertTrue(tasks.hasRoomFor(10));
    }

    /**
     * Found on service days: a quarter of the connections that had rested 0.1 s broke when used
     * again.
     */
    @Test
    public void whatBreaksAfterARestShortensIt() {
        IdleTimeout rest = new IdleTimeout(3000);
        assertEquals(rest.span(9000), 3000.0);
        rest.broke(9000, 200);
        assertEquals(rest.span(9000), 100.0);
        rest.broke(9000, 0);
        assertTrue(rest.span(9000) > 0, "it can grow again");
        rest.broke(9000, 1);
        assertEquals(rest.span(9000 + 10 * 3000), 3000.0);
    }

    @Test
    public void aWorkerKeepsItsIndexAndMayMove() throws BadMessage {
        WorkerDirectory workers = new WorkerDirectory();
        assertEquals(workers.index("a"), 0);
        assertEquals(workers.index("b"), 1);
        assertEquals(workers.index("a"), 0);
        assertEquals(workers.find("c"), -1);
        assertTrue(workers.setAddress(0, Address.read("127.0.0.1:1")));
        assertFalse(workers.setAddress(0, Address.read("127.0.0.1:1")));
        assertFalse(workers.setAddress(0, null));
        assertTrue(workers.setState(0, 2));
        assertFalse(workers.setState(0, 2));
    }
}
