package gingerspool.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulates an operator of the platform for {@link PlatformSoakTest}: sends one configuration
 * change after the other to random control nodes on its own thread, some as whole configurations
 * and some as changes of items. A change that is not acknowledged is retried unchanged.
 */
final class PlatformOperator extends Thread {
    private static final int RESPONSE_TIMEOUT_MS = 2000;
    private static final long RETRY_PAUSE_MS = 100;

    /** Changes come in series with short pauses, and after longer ones. */
    private static final int MAX_PAUSE_IN_SERIES_MS = 250;

    private static final int MAX_PAUSE_BETWEEN_SERIES_MS = 2000;
    private static final int MEAN_SERIES_LENGTH = 5;
    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;

    /** The number of redirects that are followed per call. */
    private static final int MAX_REDIRECTS = 2;

    private static final int PRECONDITION_FAILED = 412;

    private static final String REPLACE = "/v1/configuration/replace";
    private static final String MODIFY = "/v1/configuration/modify";

    /** One call, and the configuration that results from it. */
    private record Change(
            SoakConfiguration configuration, int baseVersion, String path, String body) {}

    private final List<PlatformProcesses.Node> controlNodes;
    private final ConfigurationLog log;
    private final RouteChanges changes;
    private final SplittableRandom random;
    private volatile boolean stopping;

    /** Null before the first acknowledgement. */
    private volatile SoakConfiguration acknowledged;

    /** The change that was sent and not acknowledged yet; null if there is none. */
    private Change unacknowledged;

    /** Changes that were rejected although they were based on the newest acknowledged version. */
    final List<String> rejectedChanges = new ArrayList<>();

    PlatformOperator(List<PlatformProcesses.Node> controls, ConfigurationLog log, long seed) {
        super("operator");
        this.controlNodes = controls;
        this.log = log;
        changes = new RouteChanges(seed);
        random = new SplittableRandom(seed);
        setDaemon(true);
    }

    /** The newest acknowledged configuration. */
    SoakConfiguration acknowledged() {
        return acknowledged;
    }

    @Override
    public void run() {
        while (!stopping) {
            applyNextChange(Long.MAX_VALUE);
            boolean endsSeries = random.nextInt(MEAN_SERIES_LENGTH) == 0;
            pause(
                    random.nextInt(
                            endsSeries ? MAX_PAUSE_BETWEEN_SERIES_MS : MAX_PAUSE_IN_SERIES_MS));
        }
    }

    /**
     * Sends the next change, or the last one if it was not acknowledged, until it is acknowledged.
     *
     * @param deadlineNanos System.nanoTime() after which it gives up; with Long.MAX_VALUE it
     *     retries until the operator is stopped
     * @return whether the change was acknowledged
     */
    boolean applyNextChange(long deadlineNanos) {
        if (unacknowledged == null) {
            unacknowledged = prepareNext();
            log.onSent(unacknowledged.configuration);
        }
        Change change = unacknowledged;
        while (!stopping || deadlineNanos != Long.MAX_VALUE) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            int status = send(change);
            if (status == OK) {
                log.onAcknowledged();
                acknowledged = change.configuration;
                unacknowledged = null;
                return true;
            }
            if (status == PRECONDITION_FAILED) {
                rejectedChanges.add(
                        "version " + change.configuration.version() + " on " + change.baseVersion);
            }
            pause(RETRY_PAUSE_MS);
        }
        return false;
    }

    private Change prepareNext() {
        SoakConfiguration base = acknowledged;
        if (base == null) {
            SoakConfiguration first = changes.first();
            return new Change(first, 0, REPLACE, first.toJson());
        }
        SoakConfiguration next = changes.next(base);
        return random.nextBoolean()
                ? new Change(next, base.version(), REPLACE, next.toJson())
                : new Change(next, base.version(), MODIFY, next.changesToJson(base));
    }

    private int send(Change change) {
        PlatformProcesses.Node node = controlNodes.get(random.nextInt(controlNodes.size()));
        try {
            return call(
                            node.controlAddress(),
                            "POST",
                            change.path,
                            Map.of("Based-On-Version", Integer.toString(change.baseVersion)),
                            change.body)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Reads the configuration from this control node; empty if the call fails. */
    static String readConfiguration(PlatformProcesses.Node node) {
        try {
            HttpConnection.Response response =
                    call(node.controlAddress(), "GET", "/v1/configuration/read", Map.of(), "");
            return response.status() == OK ? response.body() : "";
        } catch (IOException e) {
            return "";
        }
    }

    /** Makes one call and follows redirects. */
    private static HttpConnection.Response call(
            InetSocketAddress address,
            String method,
            String path,
            Map<String, String> headers,
            String body)
            throws IOException {
        InetSocketAddress target = address;
        for (int redirects = 0; ; redirects++) {
            Map<String, String> allHeaders = new LinkedHashMap<>(headers);
            allHeaders.put("Host", target.getHostString());
            HttpConnection.Response response;
            try (HttpConnection connection = new HttpConnection(target, RESPONSE_TIMEOUT_MS)) {
                response = connection.send(method, path, allHeaders, body);
            }
            if (response.status() != TEMPORARY_REDIRECT || redirects == MAX_REDIRECTS) {
                return response;
            }
            URI location = URI.create(response.headers().get("location"));
            target = new InetSocketAddress(location.getHost(), location.getPort());
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void stopAndJoin() throws InterruptedException {
        stopping = true;
        join();
        stopping = false;
    }
}
