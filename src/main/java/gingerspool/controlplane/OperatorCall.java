package gingerspool.controlplane;

import gingerspool.wire.Message;
import java.util.List;

/** An operator's call as a command object: decoded here, run elsewhere. */
sealed interface OperatorCall {
    /** Where the one answer to a call goes. */
    interface Reply {
        void answer(int status, List<String> fields, byte[] body);
    }

    Reply reply();

    /** Path and query, for a redirect. */
    String target();

    record Read(Reply reply, String target) implements OperatorCall {}

    /** A whole configuration, or changes, made on a version. */
    record Change(Reply reply, String target, boolean whole, long on, byte[] body)
            implements OperatorCall {}

    record Status(Reply reply, String target) implements OperatorCall {}

    /** What can't be run, and what it is answered. */
    record Bad(Reply reply, String target, int status, String text) implements OperatorCall {}

    static OperatorCall decode(Reply reply, Message m) {
        String path = m.method() + " " + m.target();
        return switch (path) {
            case "GET /v1/configuration/read" -> new Read(reply, m.target());
            case "POST /v1/configuration/replace" -> change(reply, m, true);
            case "POST /v1/configuration/modify" -> change(reply, m, false);
            case "GET /v1/status" -> new Status(reply, m.target());
            default -> new Bad(reply, m.target(), 404, "no such call: " + path);
        };
    }

    private static OperatorCall change(Reply reply, Message m, boolean whole) {
        String on = m.field("based-on-version");
        if (on == null || !on.matches("[0-9]{1,18}")) {
            String why = "Based-On-Version is missing or no whole number";
            return new Bad(reply, m.target(), 400, why);
        }
        return new Change(reply, m.target(), whole, Long.parseLong(on), m.body());
    }
}
