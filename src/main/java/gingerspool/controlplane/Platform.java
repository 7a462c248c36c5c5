package gingerspool.controlplane;

import java.util.List;
import java.util.function.Consumer;

/** The platform's interface, as the leader calls it. Every call has one end. */
interface Platform {
    /** What a call came to: its status, 0 where no answer came that could be read; and the body. */
    record Response(int status, Object body) {}

    /** All pages of the list of instances; null where one could not be had. */
    void instances(Consumer<List<Object>> callback);

    void hosts(Consumer<Response> callback);

    /** The fencingToken is the leader's term; the same nonce gives the same instance. */
    void start(
            String leaderName,
            long fencingToken,
            String service,
            String host,
            String nonce,
            Consumer<Response> callback);

    void stop(String leaderName, long fencingToken, String instance, Consumer<Response> callback);
}
