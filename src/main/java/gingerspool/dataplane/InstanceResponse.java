package gingerspool.dataplane;

import gingerspool.dispatch.Outcome;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import gingerspool.wire.RequestSafeguard;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What is said to instances and clients, and what instances' answers mean. The protocol's names end
 * here.
 */
final class InstanceResponse {
    /** Fields that concern one connection only, and those that we write ourselves. */
    private static final Set<String> OWN =
            Set.of(
                    "connection",
                    "keep-alive",
                    "transfer-encoding",
                    "content-length",
                    "te",
                    "trailer",
                    "upgrade",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "expect",
                    "remaining-milliseconds",
                    "expected-instance");

    /** The instance that was meant is not the one that was asked. */
    static final int OTHER_INSTANCE = 421;

    /** To a client these promise that the request did not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, OTHER_INSTANCE, 429, 503);

    private InstanceResponse() {}

    /** The client's request for this instance (null: any), unchanged but for the time left. */
    static byte[] request(Message from, String instance, double timeLeft) {
        byte[] body = from.body();
        StringBuilder head =
                new StringBuilder(320)
                        .append(from.method())
                        .append(' ')
                        .append(from.target())
                        .append(" HTTP/1.1\r\n");
        for (String field : fields(from)) {
            head.append(field).append("\r\n");
        }
        head.append("Remaining-Milliseconds: ").append((long) Math.max(1, timeLeft));
        if (instance != null) {
            head.append("\r\nExpected-Instance: ").append(instance);
        }
        if (body.length > 0
                || from.field("content-length") != null
                || from.field("transfer-encoding") != null) {
            head.append("\r\nContent-Length: ").append(body.length);
        }
        return Inbound.joined(head.append("\r\n\r\n"), body);
    }

    /** The fields that are passed on. */
    static List<String> fields(Message from) {
        String connection = from.field("connection");
        String named =
                connection == null
                        ? ""
                        : "," + connection.toLowerCase(Locale.ROOT).replace(" ", "") + ",";
        List<String> all = new ArrayList<>();
        from.eachField(
                (name, value) -> {
                    if (!OWN.contains(name) && !named.contains("," + name + ",")) {
                        all.add(shown(name) + ": " + value);
                    }
                });
        return all;
    }

    /** A field's name as it is usually written. */
    private static String shown(String name) {
        char[] letters = name.toCharArray();
        for (int i = 0; i < letters.length; i++) {
            letters[i] =
                    i == 0 || letters[i - 1] == '-'
                            ? Character.toUpperCase(letters[i])
                            : letters[i];
        }
        return new String(letters);
    }

    /**
     * What an answer says of the assignment. Only its own word that it never ran counts as such.
     */
    static Outcome outcome(Message answer, String id, Predicate<RequestSafeguard> has) {
        int status = answer.status();
        boolean named = id.equals(answer.field("request-id"));
        boolean says =
                answer.field("not-executed") != null
                        || status == OTHER_INSTANCE
                        || !has.test(RequestSafeguard.REFUSAL_MARK) && PROMISES.contains(status);
        // Guards unsafe requests: a refusal without our id may be another request's.
        if (says && (named || !has.test(RequestSafeguard.REFUSAL_ID))) {
            return Outcome.FULL;
        }
        boolean encoded =
                answer.field("content-encoding") != null
                        && has.test(RequestSafeguard.CONTENT_ENCODING);
        boolean unstamped =
                status < 300
                        && answer.field("server-stamp") == null
                        && has.test(RequestSafeguard.SERVER_STAMP);
        boolean failed = status >= 500 || PROMISES.contains(status);
        boolean known = named || !has.test(RequestSafeguard.RESPONSE_ID);
        return !known || encoded || unstamped || failed ? Outcome.ERROR : Outcome.OK;
    }

    /** Whether an answer is not as a worker in order answers a request of this id. */
    static boolean isDoubtful(Message answer, String id) {
        boolean unstamped = answer.status() < 300 && answer.field("server-stamp") == null;
        return !id.equals(answer.field("request-id"))
                || answer.field("content-encoding") != null
                || unstamped;
    }

    /** Whether a failure may be passed on as it is: it must not promise what is not so. */
    static boolean mayPass(Message failure, String id, Predicate<RequestSafeguard> has) {
        boolean promises =
                failure != null
                        && PROMISES.contains(failure.status())
                        && has.test(RequestSafeguard.PROMISE);
        return failure != null
                && failure.status() >= 400
                && id.equals(failure.field("request-id"))
                && failure.field("content-encoding") == null
                && !promises;
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
