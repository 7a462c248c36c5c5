package gingerspool.wire;

import gingerspool.dispatch.Outcome;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** What is said to a worker, and what its answers mean. */
public final class WorkerProtocol {
    private static final String[] PASSED_ON = {
        "X-Correlation-Id",
        "X-Service-Class",
        "X-Account",
        "X-Repeat",
        "X-Weight-Hint",
        "X-Facts",
        "Content-Type"
    };

    private WorkerProtocol() {}

    /**
     * A client's request for a worker: target, id and body unchanged, with the time that we shall
     * wait.
     */
    public static byte[] request(Message from, InetSocketAddress worker, double timeLeft) {
        byte[] body = from.body();
        StringBuilder head =
                new StringBuilder(320)
                        .append(from.method())
                        .append(' ')
                        .append(from.target())
                        .append(" HTTP/1.1\r\nHost: ")
                        .append(Address.text(worker));
        for (String name : PASSED_ON) {
            String value = from.field(name.toLowerCase(Locale.ROOT));
            if (value != null) {
                head.append("\r\n").append(name).append(": ").append(value);
            }
        }
        head.append("\r\nX-Time-Left-Ms: ")
                .append((long) Math.max(1, timeLeft))
                .append("\r\nContent-Length: ")
                .append(body.length)
                .append("\r\n\r\n");
        return Inbound.joined(head, body);
    }

    /** Gives up the assignment of the task with this id. */
    public static byte[] giveUp(String id, InetSocketAddress worker) {
        return Inbound.joined(
                "DELETE /jobs/"
                        + id
                        + " HTTP/1.1\r\nHost: "
                        + Address.text(worker)
                        + "\r\nContent-Length: 0\r\n\r\n",
                new byte[0]);
    }

    /** Asks for a load report. */
    public static byte[] probe(InetSocketAddress worker) {
        String head = "GET /load HTTP/1.1\r\nHost: " + Address.text(worker) + "\r\n\r\n";
        return Inbound.joined(head, new byte[0]);
    }

    /**
     * Null where the worker has taken the task. Only its own word that it never ran counts as such.
     */
    public static Outcome outcome(Message answer) {
        int status = answer.status();
        boolean unprocessed = "1".equals(answer.field("x-unprocessed"));
        return status == 202
                ? null
                : (status == 503 || status == 504) && unprocessed ? Outcome.FULL : Outcome.ERROR;
    }

    /** The outcome that a call-back's state tells, or null. */
    public static Outcome outcome(String state) {
        return switch (state) {
            case "done" -> Outcome.OK;
            case "failed" -> Outcome.ERROR;
            case "returned" -> Outcome.FULL;
            case "lost" -> Outcome.RESET;
            default -> null;
        };
    }

    /** The load report that came with an answer, in words. */
    public static String load(Message answer) {
        return answer.field("x-backend-load");
    }

    /** The load report that a probe was answered with: its body, in the header's form. */
    public static String probed(Message answer) {
        return answer.status() == 200 ? new String(answer.body(), StandardCharsets.UTF_8) : null;
    }
}
