package gingerspool.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulates a client for {@link PlatformSoakTest}: sends one request after the other on its own
 * thread, on the routes of the newest configuration and on others, and records the outcome of each.
 * It uses its connection until that is closed, and opens new ones to schedulers that the platform
 * sends new clients to.
 */
final class PlatformClient extends Thread {
    static final int REQUEST_TIMEOUT_MS = 3000;

    /** Longer than any request may stay unanswered. */
    private static final int RESPONSE_TIMEOUT_MS = 2 * REQUEST_TIMEOUT_MS;

    private static final long REQUEST_PAUSE_MS = 15;

    /** Some clients rest on their open connections for up to this long. */
    private static final int MAX_REST_MS = 3000;

    private static final int CLIENTS_PER_RESTING_ONE = 4;

    /** Of so many requests one goes to a route of any earlier configuration. */
    private static final int REQUESTS_PER_OLD_TARGET = 6;

    private static final Pattern SERVED_BY = Pattern.compile("hello from \\S+ of (\\S+) on .*");

    /** How a request ended. */
    enum Outcome {
        ANSWERED,
        /** The connection ended before a complete response. */
        CLOSED,
        /** Nothing came for longer than any request may take. */
        SILENT,
        NOT_CONNECTED
    }

    /**
     * One request. Times are System.nanoTime().
     *
     * @param status of the response; 0 without one
     * @param reused whether a response had come on its connection before
     * @param mine false if the response names another request
     * @param service that ran it; null if none did
     */
    record Request(
            PlatformProcesses.Node scheduler,
            String id,
            String target,
            long sent,
            long ended,
            Outcome outcome,
            int status,
            boolean reused,
            boolean mine,
            String service) {
        /** A request that ends now without a response. */
        static Request withoutResponse(
                PlatformProcesses.Node scheduler,
                String id,
                String target,
                long sentNanos,
                Outcome outcome,
                boolean reused) {
            return new Request(
                    scheduler,
                    id,
                    target,
                    sentNanos,
                    System.nanoTime(),
                    outcome,
                    0,
                    reused,
                    true,
                    null);
        }
    }

    private final PlatformProcesses platform;
    private final ConfigurationLog configurations;
    private final SplittableRandom random;
    private final int number;
    final List<Request> requests = new CopyOnWriteArrayList<>();
    private volatile boolean stopping;

    PlatformClient(
            PlatformProcesses platform, ConfigurationLog configurations, int number, long seed) {
        super("client-" + number);
        this.platform = platform;
        this.configurations = configurations;
        this.number = number;
        random = new SplittableRandom(seed * 1000 + number);
        setDaemon(true);
    }

    @Override
    public void run() {
        HttpConnection connection = null;
        PlatformProcesses.Node scheduler = null;
        for (int i = 0; !stopping; i++) {
            String id = "soak-" + number + "-" + i;
            String target = drawTarget() + i;
            if (connection == null) {
                List<PlatformProcesses.Node> candidates = platform.schedulersForNewClients();
                scheduler = candidates.get(random.nextInt(candidates.size()));
                connection = connect(scheduler, id, target);
            }
            if (connection != null && !sendRequest(connection, scheduler, id, target)) {
                close(connection);
                connection = null;
            }
            pause();
        }
        if (connection != null) {
            close(connection);
        }
    }

    /** The prefix of a route. */
    private String drawTarget() {
        List<SoakConfiguration> all = configurations.all();
        boolean isOld = random.nextInt(REQUESTS_PER_OLD_TARGET) == 0;
        SoakConfiguration configuration =
                all.get(isOld ? random.nextInt(all.size()) : all.size() - 1);
        List<SoakConfiguration.Route> routes = List.copyOf(configuration.routes().values());
        return routes.get(random.nextInt(routes.size())).prefix();
    }

    private HttpConnection connect(PlatformProcesses.Node scheduler, String id, String target) {
        long startNanos = System.nanoTime();
        try {
            return new HttpConnection(scheduler.frontAddress(), RESPONSE_TIMEOUT_MS);
        } catch (IOException e) {
            requests.add(
                    Request.withoutResponse(
                            scheduler, id, target, startNanos, Outcome.NOT_CONNECTED, false));
            return null;
        }
    }

    /** Sends one request and returns whether the connection can be reused. */
    private boolean sendRequest(
            HttpConnection connection, PlatformProcesses.Node scheduler, String id, String target) {
        boolean reused = connection.isReused();
        long sentNanos = System.nanoTime();
        try {
            HttpConnection.Response response = connection.send("GET", target, headers(id), "");
            boolean isSuccess = response.status() == 200;
            requests.add(
                    new Request(
                            scheduler,
                            id,
                            target,
                            sentNanos,
                            System.nanoTime(),
                            Outcome.ANSWERED,
                            response.status(),
                            reused,
                            !isSuccess || id.equals(response.headers().get("request-id")),
                            isSuccess ? servedBy(response.body()) : null));
            return response.isKeepAlive();
        } catch (IOException e) {
            Outcome outcome = e instanceof SocketTimeoutException ? Outcome.SILENT : Outcome.CLOSED;
            requests.add(
                    Request.withoutResponse(scheduler, id, target, sentNanos, outcome, reused));
            return false;
        }
    }

    private static Map<String, String> headers(String id) {
        return Map.of(
                "Host",
                SoakConfiguration.HOST,
                "Request-Id",
                id,
                "Remaining-Milliseconds",
                Integer.toString(REQUEST_TIMEOUT_MS));
    }

    private static String servedBy(String body) {
        Matcher matcher = SERVED_BY.matcher(body);
        return matcher.matches() ? matcher.group(1) : "unknown: " + body;
    }

    private void pause() {
        boolean rests = number % CLIENTS_PER_RESTING_ONE == 0;
        try {
            Thread.sleep(rests ? random.nextInt(MAX_REST_MS) : REQUEST_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void close(HttpConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // The connection is discarded in any case.
            return;
        }
    }

    void stopAndJoin() throws InterruptedException {
        stopping = true;
        join();
    }
}
