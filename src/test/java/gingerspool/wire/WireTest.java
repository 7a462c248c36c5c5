package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Report;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WireTest {
    private static final String POST = "POST /p?user=1 HTTP/1.1\r\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Message read(Message m, String text) throws BadMessage {
        m.take(bytes(text), 0, text.length());
        return m;
    }

    @DataProvider
    public Object[][] whole() {
        return new Object[][] {
            {POST + "Content-Length: 5\r\n\r\nhello", "hello"},
            {
                POST
                        + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nTrailer: t\r\n\r\n",
                "hello"
            },
            {"\r\n" + POST + "\r\n", ""},
        };
    }

    @Test(dataProvider = "whole")
    public void aRequestMayComeByteByByte(String text, String body) throws BadMessage {
        Message m = Message.request();
        byte[] all = bytes(text);
        int start = 0;
        for (int end = 1; end <= all.length; end++) {
            assertFalse(m.done(), "done before byte " + end);
            start += m.take(all, start, end);
        }
        assertTrue(m.done());
        assertEquals(start, all.length);
        assertEquals(new String(m.body(), StandardCharsets.ISO_8859_1), body);
        assertEquals(m.target(), "/p?user=1");
    }

    @Test(dataProvider = "whole")
    public void theNextRequestInTheSameSegmentIsLeftAlone(String text, String body)
            throws BadMessage {
        Message m = Message.request();
        assertEquals(m.take(bytes(text + POST), 0, text.length() + POST.length()), text.length());
        assertTrue(m.done());
    }

    @DataProvider
    public Object[][] bad() {
        String chunked = POST + "Transfer-Encoding: chunked\r\n\r\n";
        return new Object[][] {
            {"POST /p\r\n\r\n", 400},
            {"POST  /p HTTP/1.1\r\n\r\n", 400},
            {"POST p HTTP/1.1\r\n\r\n", 400},
            {"POST /p HTTP/2.0\r\n\r\n", 400},
            {"P(ST /p HTTP/1.1\r\n\r\n", 400},
            {POST + "Name : v\r\n\r\n", 400},
            {POST + "a: b\r\n folded\r\n\r\n", 400},
            {POST + "no colon\r\n\r\n", 400},
            {POST + "a: b\u0001\r\n\r\n", 400},
            {POST + "a: b\nc: d\r\n\r\n", 400},
            {POST + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
            {POST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
            {POST + "Content-Length: -3\r\n\r\n", 400},
            {POST + "Content-Length: 3, 3\r\n\r\n", 400},
            {POST + "Content-Length: 99999999999999999999\r\n\r\n", 400},
            {POST + "Content-Length: 65537\r\n\r\n", 413},
            {POST + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
            {chunked + "x\r\n", 400},
            {chunked + "\r\n", 400},
            {chunked + "2\r\nabc\r\n", 400},
            {chunked + "2\n", 400},
            {chunked + "1".repeat(300), 400},
            {chunked + "10001\r\n" + "x".repeat(65537), 413},
            {POST + "a: " + "x".repeat(17000), 431},
            {POST + "a: " + "x".repeat(17000) + "\r\n\r\n", 431},
        };
    }

    @Test(dataProvider = "bad")
    public void badInputHasItsStatus(String text, int status) {
        BadMessage e = expectThrows(BadMessage.class, () -> read(Message.request(), text));
        assertEquals(e.status, status, e.getMessage());
    }

    @Test
    public void anAnswerWithoutLengthEndsWithItsConnection() throws BadMessage {
        Message m = read(Message.answer(null), "HTTP/1.1 200 OK\r\n\r\nab");
        assertFalse(m.done());
        assertTrue(m.endsWithClose());
        assertEquals(m.body(), bytes("ab"));
        Message cut = read(Message.answer(null), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
        assertFalse(cut.endsWithClose());
    }

    @Test
    public void anAnswerThatMayHaveNoBodyEndsWithItsHead() throws BadMessage {
        assertTrue(read(Message.answer(null), "HTTP/1.1 204 No Content\r\n\r\n").done());
        assertTrue(read(Message.answer(null), "HTTP/1.1 100 Continue\r\n\r\n").done());
    }

    @Test
    public void aConnectionIsKeptAsTheVersionAndTheFieldSay() throws BadMessage {
        assertTrue(read(Message.request(), POST + "\r\n").keepsAlive());
        assertFalse(read(Message.request(), POST + "Connection: foo, Close\r\n\r\n").keepsAlive());
        assertFalse(read(Message.request(), "GET / HTTP/1.0\r\n\r\n").keepsAlive());
    }

    @Test
    public void jsonIsReadWithItsEscapes() throws BadMessage {
        Object tree =
                Json.read(
                        " {\"a\":[1,-2.5e1,true,null,{}],\"b\":\"x\\n\\u00e8\\\"\\ud83d\\ude00\"} ");
        assertEquals(JsonTree.at(tree, "a"), Arrays.asList(1.0, -25.0, true, null, Map.of()));
        assertEquals(JsonTree.text("", tree, "b"), "x\n\u00e8\"\ud83d\ude00");
    }

    @DataProvider
    public Object[][] notJson() {
        return new Object[][] {
            {""},
            {"{"},
            {"[1,]"},
            {"{\"a\" 1}"},
            {"{a:1}"},
            {"\"a"},
            {"\"\\x\""},
            {"\"\\u12\""},
            {"1e999"},
            {"\"a\nb\""},
            {"01"},
            {"1."},
            {"--1"},
            {"tru"},
            {"1 2"},
            {"NaN"},
            {"[".repeat(100)}
        };
    }

    @Test(dataProvider = "notJson")
    public void whatIsNotJsonIsTold(String text) {
        assertEquals(expectThrows(BadMessage.class, () -> Json.read(text)).status, 400);
    }

    @Test
    public void jsonMustBeUtf8() {
        byte[] b = {'"', (byte) 0xc3, '"'};
        assertEquals(
                expectThrows(BadMessage.class, () -> Json.read(b, 0, 3)).getMessage(), "not UTF-8");
    }

    /**
     * Seen on real logs: the protocol names a load report's fields otherwise than the settings do.
     */
    @Test
    public void reportsAreUnderstoodUnderBothSetsOfNames() throws BadMessage {
        LoadReport reports = new LoadReport("free slots", "free memory");
        double[] header = reports.read("TEXT inflight=7, queue=2, util=0.61, x0=3, other=4");
        double[] object =
                reports.read(
                        Json.read(
                                "{\"concurrent\":7,\"depth\":2,\"load_share\":0.61,"
                                        + "\"x0\":3}"));
        assertEquals(header, object);
        assertEquals(header[Report.UTILISATION], 0.61);
        assertEquals(header[Report.FREE_SLOTS], 3.0);
        assertTrue(Double.isNaN(header[Report.FREE_MEMORY]));
    }

    /** Found on siracusa-indici: a probe's report is the body, and only headers were read. */
    @Test
    public void aProbesReportIsItsBody() throws BadMessage {
        LoadReport reports = new LoadReport("free slots", "free memory");
        String text = "TEXT depth=2.056, err_ps=0, x0=3";
        String head = "Content-Length: " + text.length() + "\r\n\r\n";
        Message answer = read(Message.answer(null), "HTTP/1.1 200 OK\r\n" + head + text);
        double[] r = reports.read(WorkerProtocol.probed(answer));
        assertEquals(r[Report.QUEUE], 2.056);
        assertEquals(r[Report.FREE_SLOTS], 3.0);
        assertNull(
                WorkerProtocol.probed(
                        read(Message.answer(null), "HTTP/1.1 503 No\r\n" + head + text)));
    }

    @Test
    public void absurdReportsAreNotTold() throws BadMessage {
        LoadReport reports = new LoadReport("free slots", "");
        assertNull(reports.read("JSON {}"));
        assertNull(reports.read((String) null));
        double[] r = reports.read("TEXT util=1e999, queue=NaN, x0=, inflight");
        assertTrue(Arrays.stream(r).allMatch(Double::isNaN), Arrays.toString(r));
        assertTrue(
                Double.isNaN(reports.read(Json.read("{\"util\":\"high\"}"))[Report.UTILISATION]));
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"202 Accepted", "", null},
            {"500 Error", "", Outcome.ERROR},
            {"200 OK", "", Outcome.ERROR},
            {"503 No", "X-Unprocessed: 1\r\n", Outcome.FULL},
            {"504 No", "X-Unprocessed: 1\r\n", Outcome.FULL},
            {"503 No", "", Outcome.ERROR},
            {"504 No", "X-Unprocessed: 0\r\n", Outcome.ERROR},
            {"500 No", "X-Unprocessed: 1\r\n", Outcome.ERROR},
            {"400 No", "", Outcome.ERROR},
        };
    }

    /** Guards rule two: only the protocol's own words say that a task never ran. */
    @Test(dataProvider = "answers")
    public void whatAnAnswerSaysOfAnAssignment(String status, String field, Outcome how)
            throws BadMessage {
        Message m =
                read(
                        Message.answer(null),
                        "HTTP/1.1 " + status + "\r\n" + field + "Content-Length: 0\r\n\r\n");
        assertEquals(WorkerProtocol.outcome(m), how);
    }

    @Test
    public void whatACallBackSaysOfAnAssignment() {
        List<Outcome> told =
                List.of(
                        WorkerProtocol.outcome("done"),
                        WorkerProtocol.outcome("failed"),
                        WorkerProtocol.outcome("returned"),
                        WorkerProtocol.outcome("lost"));
        assertEquals(told, List.of(Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.RESET));
        assertNull(WorkerProtocol.outcome("started"));
    }

    @Test
    public void aRequestGoesOnUnchanged() throws BadMessage {
        Message m =
                read(
                        Message.request(),
                        POST
                                + "X-Correlation-Id: i1\r\nX-Time-Left-Ms: 900\r\n"
                                + "X-Odd: 1\r\nContent-Length: 2\r\n\r\nok");
        byte[] request = WorkerProtocol.request(m, Address.read("127.0.0.1:80"), 650.7);
        String sent = new String(request, StandardCharsets.ISO_8859_1);
        assertTrue(sent.startsWith(POST) && sent.endsWith("\r\n\r\nok"), sent);
        assertTrue(sent.contains("X-Correlation-Id: i1\r\n"), sent);
        assertTrue(sent.contains("X-Time-Left-Ms: 650\r\n"), sent);
    }

    /** Seen on real logs: the further figures come as slots and memory, one after the other. */
    @Test
    public void factsAreReadByName() throws BadMessage {
        Message m = read(Message.request(), POST + "X-Facts: slots=2,memory=0.790\r\n\r\n");
        assertEquals(Facts.fact(m, "x-facts", "slots", 1), 2.0);
        assertEquals(Facts.fact(m, "x-facts", "memory", 0), 0.79);
        assertEquals(Facts.fact(m, "x-facts", "other", 7), 7.0);
    }

    @Test
    public void onlyNumericAddressesAreTaken() throws BadMessage {
        assertEquals(Address.text(Address.read("10.1.0.18:8080")), "10.1.0.18:8080");
        for (String s :
                List.of("host:80", "10.1.0.18", "10.1.0.18:99999", "10.1.0.999:80", ":80", "")) {
            expectThrows(BadMessage.class, () -> Address.read(s));
        }
    }
}
