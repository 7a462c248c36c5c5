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

/** Forwarded requests and the classification of instances' responses. */
public class InstanceProtocolTest {
    private static Message parse(Message message, String text) throws BadMessage {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        message.take(bytes, 0, bytes.length);
        assertTrue(message.done());
        return message;
    }

    private static Message response(String status, String fields) throws BadMessage {
        return parse(
                Message.answer(null),
                "HTTP/1.1 " + status + " X\r\n" + fields + "Content-Length: 0\r\n\r\n");
    }

    @DataProvider
    Object[][] responses() {
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
     * Only a response that names the request shows that it was not executed. A failure may be
     * forwarded only if it doesn't falsely state that the request was not executed.
     */
    @Test(dataProvider = "responses")
    public void responsesAreClassified(
            String status, String fields, Outcome outcome, boolean mayForward) throws BadMessage {
        Message response = response(status, fields);
        assertEquals(InstanceProtocol.outcome(response, "a", guard -> true), outcome);
        assertEquals(InstanceProtocol.mayForward(response, "a", guard -> true), mayForward);
    }

    @Test
    public void aForwardedRequestOmitsConnectionSpecificFields() throws BadMessage {
        Message request =
                parse(
                        Message.request(),
                        "POST /a/b?c HTTP/1.1\r\nHost: h.example\r\nRequest-Id: a\r\nX-Odd: 1\r\n"
                                + "Remaining-Milliseconds: 900\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
                                + "Keep-Alive: timeout=5\r\n"
                                + "Transfer-Encoding: chunked\r\nExpected-Instance: other\r\n\r\n2\r\nok\r\n0\r\n\r\n");
        String forwarded =
                new String(
                        InstanceProtocol.encodeRequest(request, "i-1", 650.7),
                        StandardCharsets.ISO_8859_1);
        assertTrue(
                forwarded.startsWith("POST /a/b?c HTTP/1.1\r\n")
                        && forwarded.endsWith("\r\nContent-Length: 2\r\n\r\nok"),
                forwarded);
        assertTrue(
                forwarded.contains("Host: h.example\r\nRequest-Id: a\r\nX-Odd: 1\r\n"), forwarded);
        assertTrue(
                forwarded.contains("Remaining-Milliseconds: 650\r\nExpected-Instance: i-1"),
                forwarded);
        for (String removed : new String[] {"X-Hop", "Keep-Alive", "chunked", "other", "900"}) {
            assertFalse(forwarded.contains(removed), removed + " in " + forwarded);
        }
    }
}
