package gingerspool.dataplane;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Outcome;
import gingerspool.wire.BadMessage;
import gingerspool.wire.Message;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class InstanceProtocolTest {
    private static Message read(Message m, String text) throws BadMessage {
        byte[] b = text.getBytes(StandardCharsets.ISO_8859_1);
        m.take(b, 0, b.length);
        assertTrue(m.done());
        return m;
    }

    private static Message answer(String status, String fields) throws BadMessage {
        return read(
                Message.answer(null),
                "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n");
    }

    @DataProvider
    Object[][] answers() {
        String id = "Request-Id: a\r\n";
        String stamp = id + "Server-Stamp: s\r\n";
        return new Object[][] {
            {"200", stamp, Outcome.OK, false},
            {"404", id, Outcome.OK, true},
            {"200", id, Outcome.ERROR, false},
            {"200", "Server-Stamp: s\r\n", Outcome.ERROR, false},
            {"200", stamp + "Content-Encoding: gzip\r\n", Outcome.ERROR, false},
            {"503", id + "Not-Executed: 1\r\n", Outcome.FULL, false},
            {"421", id, Outcome.FULL, false},
            {"503", "Not-Executed: 1\r\n", Outcome.ERROR, false},
            {"421", "Request-Id: b\r\n", Outcome.ERROR, false},
            {"500", "Request-Id: b\r\n", Outcome.ERROR, false},
            {"503", id, Outcome.ERROR, false},
            {"429", id, Outcome.ERROR, false},
            {"408", id, Outcome.ERROR, false},
            {"500", stamp, Outcome.ERROR, true},
            {"504", id, Outcome.ERROR, true}
        };
    }

    /**
     * Only an instance's own word says that it did not run; a failure passed on promises nothing
     * untrue.
     */
    @Test(dataProvider = "answers")
    public void whatAnAnswerMeans(String status, String fields, Outcome how, boolean mayPass)
            throws BadMessage {
        Message m = answer(status, fields);
        assertEquals(InstanceProtocol.outcome(m, "a", guard -> true), how);
        assertEquals(InstanceProtocol.mayForward(m, "a", guard -> true), mayPass);
    }

    @Test
    public void aRequestGoesOnWithoutWhatConcernsOneConnection() throws BadMessage {
        Message m =
                read(
                        Message.request(),
                        "POST /a/b?c HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\nX-Odd: 1\r\n"
                                + "Remaining-Milliseconds: 900\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                                + "Keep-Alive: timeout=5\r\n"
                                + "Transfer-Encoding: chunked\r\nExpected-Instance: other\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        String sent =
                new String(
                        InstanceProtocol.encodeRequest(m, "i-1", 650.7),
                        StandardCharsets.ISO_8859_1);
        assertTrue(
                sent.startsWith("POST /a/b?c HTTP/1.1\r\n")
                        && sent.endsWith("\r\nContent-Length: 2\r\n\r\nok"),
                sent);
        assertTrue(sent.contains("Host: h.example\r\nRequest-Id: a\r\nX-Odd: 1\r\n"), sent);
        assertTrue(sent.contains("Remaining-Milliseconds: 650\r\nExpected-Instance: i-1"), sent);
        for (String gone : new String[] {"X-Hop", "Keep-Alive", "chunked", "other", "900"}) {
            assertFalse(sent.contains(gone), gone + " in " + sent);
        }
    }
}
