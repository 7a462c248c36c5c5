package gingerspool.controlplane;

import gingerspool.wire.Message;
import java.util.List;

/**
 * An operator's call, decoded from its HTTP request by {@link OperatorEndpoint} and executed by
 * {@link OperatorCalls}.
 */
sealed interface OperatorCall {
    /** Sends the answer to a call; must be called exactly once. */
    interface Reply {
        void answer(int status, List<String> fields, byte[] body);
    }

    Reply reply();

    /** Path and query of the request, for a redirect. */
    String target();

    /** Reads the configuration. */
    record Read(Reply reply, String target) implements OperatorCall {}

    /** Replaces the configuration, or modifies it; rejected unless the base version is in force. */
    record Change(Reply reply, String target, boolean isComplete, long baseVersion, byte[] body)
            implements OperatorCall {}

    /** Reads the status page, which every member answers. */
    record Status(Reply reply, String target) implements OperatorCall {}

    /** A call that cannot be executed, with the status and the message to answer. */
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
            String message = "Based-On-Version is missing or not a whole number";
            return new Invalid(reply, request.target(), 400, message);
        }
        return new Change(
                reply, request.target(), isComplete, Long.parseLong(baseVersion), request.body());
    }
}
