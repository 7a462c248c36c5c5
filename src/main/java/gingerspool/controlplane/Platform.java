package gingerspool.controlplane;

import java.util.List;
import java.util.function.Consumer;

/**
 * The platform's API, as the leader calls it. Every call ends with exactly one callback, on the
 * event loop.
 */
interface Platform {
    /**
     * The response to a call: the HTTP status, or 0 if no readable response arrived, and the parsed
     * JSON body, which may be null.
     */
    record Response(int status, Object body) {}

    /**
     * Reads all pages of the list of instances; the callback gets null if a page could not be read.
     */
    void instances(Consumer<List<Object>> callback);

    void hosts(Consumer<Response> callback);

    /**
     * Starts an instance on a host. The fencing token is the leader's term; a repeated nonce
     * returns the same instance.
     */
    void start(
            String leaderName,
            long fencingToken,
            String service,
            String host,
            String nonce,
            Consumer<Response> callback);

    void stop(String leaderName, long fencingToken, String instance, Consumer<Response> callback);
}
