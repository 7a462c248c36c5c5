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
 * change after the other to random control nodes on its own thread. A change that is not
 * acknowledged is retried unchanged.
 */
final class PlatformOperator extends Thread {
    private static final int RESPONSE_TIMEOUT_MS = 2000;
    private static final long RETRY_PAUSE_MS = 100;
    private static final long CHANGE_PAUSE_MS = 250;
    private static final int OK = 200;
    private static final int TEMPORARY_REDIRECT = 307;

    /** The number of redirects that are followed per call. */
    private static final int MAX_REDIRECTS = 2;

    private static final int PRECONDITION_FAILED = 412;

    private static final String CONFIGURATION =
            """
            {"Version":%d,"Routes":[{"Name":"r","HostName":"%s","PathPrefix":"/hello/",
            "RouteKind":"safe",
            "TimeoutMs":%d,"TargetLatencyMs":2000,"Priority":1,"Service":"hello","MaxAttempts":2}],
            "Services":[{"Name":"hello","HealthPath":null,"ConnectionLimit":20,"MemoryMb":128,"BootMs":200,
            "MaxConcurrency":8}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,
            "IdleTimeoutMs":15000}}""";

    private final List<PlatformProcesses.Node> controlNodes;
    private final SplittableRandom random;
    private volatile boolean stopping;
    private volatile int acknowledgedVersion;

    /** Changes that were rejected although they were based on the newest acknowledged version. */
    final List<String> rejectedChanges = new ArrayList<>();

    PlatformOperator(List<PlatformProcesses.Node> controls, long seed) {
        super("operator");
        this.controlNodes = controls;
        random = new SplittableRandom(seed);
        setDaemon(true);
    }

    /** The newest acknowledged configuration version; 0 before the first. */
    int acknowledgedVersion() {
        return acknowledgedVersion;
    }

    /** The configuration of this version, which is identified by its route's timeout. */
    static String configuration(int version) {
        return CONFIGURATION.formatted(version, PlatformClient.HOST, routeTimeoutMs(version));
    }

    static int routeTimeoutMs(int version) {
        return 4000 + version;
    }

    @Override
    public void run() {
        while (!stopping) {
            applyNextChange(Long.MAX_VALUE);
            pause(CHANGE_PAUSE_MS);
        }
    }

    /**
     * Sends the next change until it is acknowledged.
     *
     * @param deadlineNanos System.nanoTime() after which it gives up; with Long.MAX_VALUE it
     *     retries until the operator is stopped
     * @return whether the change was acknowledged
     */
    boolean applyNextChange(long deadlineNanos) {
        int version = acknowledgedVersion + 1;
        while (!stopping || deadlineNanos != Long.MAX_VALUE) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            int status = sendChange(version);
            if (status == OK) {
                acknowledgedVersion = version;
                return true;
            }
            if (status == PRECONDITION_FAILED) {
                rejectedChanges.add("version " + version + " on " + (version - 1));
            }
            pause(RETRY_PAUSE_MS);
        }
        return false;
    }

    private int sendChange(int version) {
        PlatformProcesses.Node node = controlNodes.get(random.nextInt(controlNodes.size()));
        try {
            return call(
                            node.controlAddress(),
                            "POST",
                            "/v1/configuration/replace",
                            Map.of("Based-On-Version", Integer.toString(version - 1)),
                            configuration(version))
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
