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
    record Change(Reply reply, String target, boolean isComplete, long baseVersion, byte[] body)
            implements OperatorCall {}

    record Status(Reply reply, String target) implements OperatorCall {}

    /** What can't be run, and what it is answered. */
    record Invalid(Reply reply, String target, int status, String message)
            implements OperatorCall {}

    static OperatorCall decode(Reply reply, Message request) {
        String methodAndTarget = request.method() + " " + request.target();
        return switch (methodAndTarget) {
            case "GET /v1/configuration/read" -> new Read(reply, request.target());
            case "POST /v1/configuration/replace" -> change(reply, request, true);
            case "POST /v1/configuration/modify" -> change(reply, request, false);
            case "GET /v1/status" -> new Status(reply, request.target());
            default ->
                    new Invalid(reply, request.target(), 404, "no such call: " + methodAndTarget);
        };
    }

    private static OperatorCall change(Reply reply, Message request, boolean isComplete) {
        String baseVersion = request.field("based-on-version");
        if (baseVersion == null || !baseVersion.matches("[0-9]{1,18}")) {
            String message = "Based-On-Version is missing or no whole number";
            return new Invalid(reply, request.target(), 400, message);
        }
        return new Change(
                reply, request.target(), isComplete, Long.parseLong(baseVersion), request.body());
    }
}
