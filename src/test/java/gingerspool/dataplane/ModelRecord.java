package gingerspool.dataplane;

import gingerspool.wire.Message;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An account of all requests sent, executions on workers and responses to clients, independent of
 * the code under test. Reports violations of the guarantees to {@link ModelNetwork#check} as they
 * occur. Called by the simulated clients and workers; times are in milliseconds.
 */
final class ModelRecord {
    /**
     * How long after its client closed the connection a request may still reach a worker, or run
     * there.
     */
    private static final double MAX_CANCELLATION_DELAY_MS = 500;

    /** How long a request may take from the client until the scheduler has read all of it. */
    private static final double MAX_READING_TIME_MS = 500;

    /**
     * In calm times each route is served at least this fraction as often as the one that is served
     * best.
     */
    private static final double MIN_SERVED_FRACTION = 0.25;

    /** Routes with fewer requests are not judged. */
    private static final int MIN_JUDGED_REQUESTS = 20;

    /** Statuses by which the scheduler promises the client that the request was not executed. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    /** A request as a client sent it, and what became of it. */
    static final class ClientRequest {
        final String id;
        final boolean safe;
        final int attempts;
        final double sentAt;
        final double expiry;
        final String target;
        final byte[] body;
        int executionCount;
        final List<Arrival> arrivals = new ArrayList<>();
        boolean isServed;
        int responseCount;
        int notExecutedResponseCount;
        boolean isAbandoned;

        /** When its client closed the connection; NaN until then. */
        double abandonedAt = Double.NaN;

        ClientRequest(
                String id,
                boolean safe,
                int attempts,
                double sentAt,
                double expiry,
                String target,
                byte[] body) {
            this.id = id;
            this.safe = safe;
            this.attempts = attempts;
            this.sentAt = sentAt;
            this.expiry = expiry;
            this.target = target;
            this.body = body;
        }
    }

    /** The served requests of one route, and all that were not abandoned. */
    private static final class RouteShare {
        int served;
        int all;
    }

    /** The arrival of a request's head at a worker. */
    static final class Arrival {
        final double arrivedAt;
        final String workerId;

        /** Whether the worker has responded, with the request's id, that it won't execute it. */
        boolean isRejected;

        Arrival(double arrivedAt, String workerId) {
            this.arrivedAt = arrivedAt;
            this.workerId = workerId;
        }
    }

    /** A response that a worker created for a request. */
    private record WorkerResponse(String requestId, int status, byte[] body) {}

    private final ModelNetwork network;
    private final RouteHistory routes;
    private final double retryRatio;
    private final double retrySlack;
    private final double retryWindow;
    private final Map<String, ClientRequest> requests = new LinkedHashMap<>();
    private final Map<String, WorkerResponse> responsesByStamp = new HashMap<>();
    private int stampCount;

    ModelRecord(
            ModelNetwork network,
            RouteHistory routes,
            double retryRatio,
            double retrySlack,
            double retryWindow) {
        this.network = network;
        this.routes = routes;
        this.retryRatio = retryRatio;
        this.retrySlack = retrySlack;
        this.retryWindow = retryWindow;
    }

    ClientRequest add(ClientRequest request) {
        requests.put(request.id, request);
        return request;
    }

    ClientRequest find(String id) {
        return requests.get(id);
    }

    /** The id of some other request, or an id that no request has. */
    String otherRequestId(String excludedId) {
        List<String> ids = new ArrayList<>(requests.keySet());
        String other = ids.get(network.random.nextInt(ids.size()));
        return other.equals(excludedId) ? "stranger" : other;
    }

    // ---- Workers ----

    Arrival onArrival(String id, String workerId) {
        ClientRequest request = requests.get(id);
        network.check(request != null, "UNREQUESTED: a worker received " + id);
        Arrival arrival = new Arrival(network.now(), workerId);
        if (request == null) {
            return arrival;
        }
        network.check(
                !isCancellationOverdue(request),
                "ABANDONED: " + id + " is sent after its client closed the connection");
        for (Arrival earlier : request.arrivals) {
            network.check(
                    request.safe || earlier.isRejected,
                    "TWICE: unsafe " + id + " is sent again without Not-Executed");
        }
        network.check(
                request.notExecutedResponseCount == 0,
                "NOT EXECUTED: " + id + " is sent after the client got a rejection");
        request.arrivals.add(arrival);
        Set<String> workers = new HashSet<>();
        request.arrivals.forEach(each -> workers.add(each.workerId));
        network.check(
                workers.size() <= Math.max(1, request.attempts),
                "MaxAttempts: " + id + " reached " + workers.size() + " workers");
        return arrival;
    }

    void onExecution(Message received, String function) {
        ClientRequest request = requests.get(received.field("request-id"));
        if (request == null) {
            return;
        }
        request.executionCount++;
        network.check(
                routes.mayLeadTo(
                        routeOf(request), function, request.sentAt, admittedBefore(request)),
                "ROUTE: a worker of " + function + " ran " + request.id);
        network.check(
                request.safe || request.executionCount == 1,
                "TWICE: unsafe " + request.id + " ran");
        network.check(
                request.safe || request.notExecutedResponseCount == 0,
                "NOT EXECUTED: unsafe " + request.id + " ran after the client got a rejection");
        network.check(
                request.target.equals(received.target())
                        && Arrays.equals(request.body, received.body()),
                "UNREQUESTED: " + request.id + " was changed");
    }

    private boolean isCancellationOverdue(ClientRequest request) {
        return network.now() > request.abandonedAt + MAX_CANCELLATION_DELAY_MS;
    }

    /** A worker still executes a request on a connection that was not closed. */
    void onStillRunning(String id) {
        ClientRequest request = requests.get(id);
        network.check(
                request == null || !request.safe || !isCancellationOverdue(request),
                "ABANDONED: a worker still runs " + id + ", which is safe to repeat");
    }

    /** Records a worker's response and returns its unique stamp. */
    String newStamp(String id, int status, byte[] body) {
        String stamp = "stamp-" + stampCount++;
        responsesByStamp.put(stamp, new WorkerResponse(id, status, body));
        return stamp;
    }

    private static String routeOf(ClientRequest request) {
        return request.target.split("/")[1];
    }

    /** A request is admitted on the route that is in force as its last byte is read. */
    private double admittedBefore(ClientRequest request) {
        double firstArrival =
                request.arrivals.isEmpty() ? network.now() : request.arrivals.get(0).arrivedAt;
        return Math.min(firstArrival, request.sentAt + MAX_READING_TIME_MS);
    }

    // ---- Clients ----

    void onResponse(ClientRequest request, Message response) {
        int status = response.status();
        request.responseCount++;
        request.isServed = status < 300;
        network.check(
                status != 404
                        || routes.mayBeMissing(
                                routeOf(request), request.sentAt, admittedBefore(request)),
                "DENIED: 404 for " + request.id + ", whose route was there");
        network.check(request.responseCount == 1, "two responses to " + request.id);
        network.check(
                network.now() < request.expiry + 100, "answered after its deadline: " + request.id);
        String stamp = response.field("server-stamp");
        WorkerResponse workerResponse = stamp == null ? null : responsesByStamp.get(stamp);
        network.check(
                status >= 300 || workerResponse != null,
                "MISMATCH: a success without a worker's stamp");
        if (workerResponse != null) {
            network.check(
                    workerResponse.requestId.equals(request.id),
                    "MISMATCH: " + request.id + " got the response to " + workerResponse.requestId);
            network.check(
                    workerResponse.status == status,
                    "MISMATCH: " + status + " but the worker sent " + workerResponse.status);
            network.check(
                    Arrays.equals(workerResponse.body, response.body()),
                    "MISMATCH: the body of " + request.id + " is not the worker's");
            network.check(
                    response.field("content-encoding") == null,
                    "MISMATCH: encoded response to " + request.id);
        }
        if (NOT_EXECUTED_STATUSES.contains(status)) {
            request.notExecutedResponseCount++;
            network.check(
                    request.safe || request.executionCount == 0,
                    "NOT EXECUTED: " + status + " for unsafe " + request.id + ", which ran");
        }
    }

    /**
     * Checks at the end of a run that each request was answered once and that retries stayed within
     * the budget in every window.
     */
    void checkCompletedHistory() {
        List<Double> retryTimes = new ArrayList<>();
        for (ClientRequest request : requests.values()) {
            network.check(
                    request.responseCount == 1 || request.isAbandoned,
                    request.id + " has " + request.responseCount + " responses");
            request.arrivals.stream().skip(1).forEach(each -> retryTimes.add(each.arrivedAt));
        }
        retryTimes.sort(null);
        for (int first = 0, last = 0; last < retryTimes.size(); last++) {
            double windowEnd = retryTimes.get(last);
            while (retryTimes.get(first) < windowEnd - retryWindow) {
                first++;
            }
            long requestCount =
                    requests.values().stream()
                            .filter(
                                    each ->
                                            each.sentAt > windowEnd - retryWindow
                                                    && each.sentAt <= windowEnd)
                            .count();
            network.check(
                    last - first + 1 <= retryRatio * requestCount + retrySlack,
                    "BUDGET: " + (last - first + 1) + " retries for " + requestCount + " requests");
        }
    }

    /** Checks that all routes are served alike; requests sent earlier are not judged. */
    void checkRoutesServed(double judgedFrom) {
        Map<String, RouteShare> shares = new LinkedHashMap<>();
        for (ClientRequest request : requests.values()) {
            if (request.sentAt >= judgedFrom && !request.isAbandoned) {
                RouteShare share =
                        shares.computeIfAbsent(routeOf(request), name -> new RouteShare());
                share.all++;
                share.served += request.isServed ? 1 : 0;
            }
        }
        double best = 0;
        for (RouteShare share : shares.values()) {
            best = Math.max(best, (double) share.served / share.all);
        }
        network.check(best > 0, "CONFIG: no route is served in calm times");
        for (Map.Entry<String, RouteShare> entry : shares.entrySet()) {
            RouteShare share = entry.getValue();
            network.check(
                    share.all < MIN_JUDGED_REQUESTS
                            || share.served >= MIN_SERVED_FRACTION * best * share.all,
                    "CONFIG: "
                            + entry.getKey()
                            + " is served "
                            + share.served
                            + " of "
                            + share.all);
        }
    }

    /** The number of requests that were executed and answered. */
    int served() {
        return (int)
                requests.values().stream()
                        .filter(each -> each.executionCount > 0 && each.responseCount == 1)
                        .count();
    }
}
