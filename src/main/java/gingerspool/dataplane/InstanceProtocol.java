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
 * Encodes requests to instances and interprets their answers, and so keeps the rules of the
 * protocol between schedulers and instances in one place. Stateless.
 */
final class InstanceProtocol {
    /**
     * Header fields that are not forwarded: they concern one connection only or are written by the
     * scheduler.
     */
    private static final Set<String> NOT_FORWARDED =
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

    /**
     * The request reached another instance than the one in Expected-Instance (421 Misdirected
     * Request).
     */
    static final int OTHER_INSTANCE = 421;

    /** Status codes that promise to a client that the request did not run and never will. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, OTHER_INSTANCE, 429, 503);

    private InstanceProtocol() {}

    /**
     * Encodes the client's request for an instance (null: any), with the remaining time in
     * milliseconds. Apart from fields that are not forwarded, the request is unchanged.
     */
    static byte[] encodeRequest(Message request, String instance, double timeLeft) {
        byte[] body = request.body();
        StringBuilder head =
                new StringBuilder(320)
                        .append(request.method())
                        .append(' ')
                        .append(request.target())
                        .append(" HTTP/1.1\r\n");
        for (String field : forwardedFields(request)) {
            head.append(field).append("\r\n");
        }
        head.append("Remaining-Milliseconds: ").append((long) Math.max(1, timeLeft));
        if (instance != null) {
            head.append("\r\nExpected-Instance: ").append(instance);
        }
        if (body.length > 0
                || request.field("content-length") != null
                || request.field("transfer-encoding") != null) {
            head.append("\r\nContent-Length: ").append(body.length);
        }
        return Inbound.joined(head.append("\r\n\r\n"), body);
    }

    /**
     * The header fields of a message that are forwarded, without those that its Connection field
     * lists.
     */
    static List<String> forwardedFields(Message message) {
        String connection = message.field("connection");
        String connectionOptions =
                connection == null
                        ? ""
                        : "," + connection.toLowerCase(Locale.ROOT).replace(" ", "") + ",";
        List<String> forwarded = new ArrayList<>();
        message.eachField(
                (name, value) -> {
                    if (!NOT_FORWARDED.contains(name)
                            && !connectionOptions.contains("," + name + ",")) {
                        forwarded.add(canonicalName(name) + ": " + value);
                    }
                });
        return forwarded;
    }

    /** A lower-case field name with each word capitalized. */
    private static String canonicalName(String name) {
        char[] characters = name.toCharArray();
        for (int i = 0; i < characters.length; i++) {
            characters[i] =
                    i == 0 || characters[i - 1] == '-'
                            ? Character.toUpperCase(characters[i])
                            : characters[i];
        }
        return new String(characters);
    }

    /**
     * The outcome of an assignment by the instance's answer. A request counts as not executed only
     * if the answer says so explicitly.
     */
    static Outcome outcome(Message answer, String id, Predicate<RequestSafeguard> has) {
        int status = answer.status();
        boolean isIdMatching = id.equals(answer.field("request-id"));
        boolean isRefusal =
                answer.field("not-executed") != null
                        || status == OTHER_INSTANCE
                        || !has.test(RequestSafeguard.REFUSAL_MARK)
                                && NOT_EXECUTED_STATUSES.contains(status);
        // Guards unsafe requests: a refusal without the id of this request may belong to another
        // one.
        if (isRefusal && (isIdMatching || !has.test(RequestSafeguard.REFUSAL_ID))) {
            return Outcome.FULL;
        }
        boolean isEncoded =
                answer.field("content-encoding") != null
                        && has.test(RequestSafeguard.CONTENT_ENCODING);
        boolean lacksStamp =
                status < 300
                        && answer.field("server-stamp") == null
                        && has.test(RequestSafeguard.SERVER_STAMP);
        boolean isFailure = status >= 500 || NOT_EXECUTED_STATUSES.contains(status);
        boolean isIdAccepted = isIdMatching || !has.test(RequestSafeguard.RESPONSE_ID);
        return !isIdAccepted || isEncoded || lacksStamp || isFailure ? Outcome.ERROR : Outcome.OK;
    }

    /** Whether an answer differs from what a healthy instance sends for a request with this id. */
    static boolean isSuspect(Message answer, String id) {
        boolean lacksStamp = answer.status() < 300 && answer.field("server-stamp") == null;
        return !id.equals(answer.field("request-id"))
                || answer.field("content-encoding") != null
                || lacksStamp;
    }

    /**
     * Whether a failure may be forwarded to the client as it is: it must not wrongly promise that
     * the request did not run.
     */
    static boolean mayForward(Message failure, String id, Predicate<RequestSafeguard> has) {
        boolean promisesNotExecuted =
                failure != null
                        && NOT_EXECUTED_STATUSES.contains(failure.status())
                        && has.test(RequestSafeguard.PROMISE);
        return failure != null
                && failure.status() >= 400
                && id.equals(failure.field("request-id"))
                && failure.field("content-encoding") == null
                && !promisesNotExecuted;
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
