package gingerspool.load;

import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A request of a plan as it goes over the wire. */
final class RequestText {
    private RequestText() {}

    /** The request under this id with so many ms left; `repeats` marks it as a retry. */
    static byte[] of(Plan.Request r, Scenario.Kind k, String id, double left, boolean repeats) {
        String body = String.format(Locale.ROOT, "work=%.6f", r.work());
        StringBuilder head =
                new StringBuilder(300)
                        .append("POST /")
                        .append(r.profile())
                        .append("?user=")
                        .append(r.number())
                        .append(" HTTP/1.1\r\nHost: clients.example.org\r\nX-Correlation-Id: ")
                        .append(id)
                        .append("\r\nX-Service-Class: ")
                        .append(r.profile())
                        .append("\r\nX-Time-Left-Ms: ")
                        .append((long) Math.max(1, left))
                        .append("\r\n");
        if (!r.tenant().isEmpty()) {
            head.append("X-Account: ").append(r.tenant()).append("\r\n");
        }
        if (r.hint() > 0) {
            head.append("X-Weight-Hint: ").append((long) (1000 * r.hint())).append("\r\n");
        }
        if (k.width > 1 || k.memory > 0) {
            head.append("X-Facts: slots=")
                    .append(k.width)
                    .append(",memory=")
                    .append(k.memory)
                    .append("\r\n");
        }
        if (repeats) {
            head.append("X-Repeat: 1\r\n");
        }
        return head.append("Content-Length: ")
                .append(body.length())
                .append("\r\n\r\n")
                .append(body)
                .toString()
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
