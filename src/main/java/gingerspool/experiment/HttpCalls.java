package gingerspool.experiment;

import gingerspool.wire.Address;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;

/** Calls of operators and of the front's health check. */
final class HttpCalls {
    private static final int YES = 200;
    private static final int CONNECT_WITHIN_MS = 500;
    private static final int ANSWER_WITHIN_MS = 1000;

    private HttpCalls() {}

    /** Whether this call is answered with yes. */
    static boolean isYes(InetSocketAddress at, String method, String path) {
        return status(at, method, path) == YES;
    }

    /** The status of the answer to this call, or 0 where none comes. */
    static int status(InetSocketAddress at, String method, String path) {
        try {
            HttpURLConnection c =
                    (HttpURLConnection)
                            URI.create("http://" + Address.text(at) + path)
                                    .toURL()
                                    .openConnection();
            c.setRequestMethod(method);
            c.setConnectTimeout(CONNECT_WITHIN_MS);
            c.setReadTimeout(ANSWER_WITHIN_MS);
            int status = c.getResponseCode();
            c.disconnect();
            return Math.max(0, status);
        } catch (IOException e) {
            return 0;
        }
    }
}
