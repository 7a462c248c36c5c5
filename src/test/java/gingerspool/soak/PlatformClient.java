package gingerspool.soak;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Simulates a client for {@link PlatformSoakTest}: sends one request after the other on its own
 * thread, reuses its connection while that stays open, and records the outcome of each request.
 */
final class PlatformClient extends Thread {
    private static final int REQUEST_TIMEOUT_MS = 3000;
    private static final long REQUEST_PAUSE_MS = 15;
    static final String HOST = "soak.example";

    /**
     * The outcome of one request. Times are System.nanoTime().
     *
     * @param status of the response, 0 if the connection ended or timed out before a complete
     *     response, -1 if it could not be established
     * @param mine false if the response names another request
     */
    record Request(
            PlatformProcesses.Node scheduler,
            long sent,
            long ended,
            int status,
            boolean reused,
            boolean mine) {}

    private final List<PlatformProcesses.Node> schedulers;
    private final SplittableRandom random;
    private final int number;
    final List<Request> requests = new CopyOnWriteArrayList<>();
    private volatile boolean stopping;

    PlatformClient(List<PlatformProcesses.Node> schedulers, int number, long seed) {
        super("client-" + number);
        this.schedulers = schedulers;
        this.number = number;
        random = new SplittableRandom(seed * 1000 + number);
        setDaemon(true);
    }

    @Override
    public void run() {
        HttpConnection connection = null;
        PlatformProcesses.Node scheduler = null;
        for (int i = 0; !stopping; i++) {
            if (connection == null) {
                scheduler = schedulers.get(random.nextInt(schedulers.size()));
                connection = connect(scheduler);
            }
            if (connection != null
                    && !sendRequest(connection, scheduler, "soak-" + number + "-" + i)) {
                close(connection);
                connection = null;
            }
            pause();
        }
        if (connection != null) {
            close(connection);
        }
    }

    private HttpConnection connect(PlatformProcesses.Node scheduler) {
        long startNanos = System.nanoTime();
        try {
            return new HttpConnection(scheduler.frontAddress(), 2 * REQUEST_TIMEOUT_MS);
        } catch (IOException e) {
            requests.add(new Request(scheduler, startNanos, System.nanoTime(), -1, false, true));
            return null;
        }
    }

    /** Sends one request and returns whether the connection can be reused. */
    private boolean sendRequest(
            HttpConnection connection, PlatformProcesses.Node scheduler, String id) {
        boolean reused = connection.isReused();
        long sentNanos = System.nanoTime();
        try {
            HttpConnection.Response response =
                    connection.send(
                            "GET",
                            "/hello/world",
                            Map.of(
                                    "Host",
                                    HOST,
                                    "Request-Id",
                                    id,
                                    "Remaining-Milliseconds",
                                    Integer.toString(REQUEST_TIMEOUT_MS)),
                            "");
            boolean matchesRequest =
                    response.status() != 200 || id.equals(response.headers().get("request-id"));
            requests.add(
                    new Request(
                            scheduler,
                            sentNanos,
                            System.nanoTime(),
                            response.status(),
                            reused,
                            matchesRequest));
            return response.isKeepAlive();
        } catch (IOException e) {
            requests.add(new Request(scheduler, sentNanos, System.nanoTime(), 0, reused, true));
            return false;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(REQUEST_PAUSE_MS);
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
