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
 * What was sent, what workers ran and what callers got, noted apart from the code under test; says
 * at once what may not be.
 */
final class ModelRecord {
    /** How long after its caller's close a request may still come to a worker, or run there. */
    private static final double MAX_CANCELLATION_DELAY_MS = 500;

    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

    /** One request as a caller sent it. */
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
        int responseCount;
        int notExecutedResponseCount;
        boolean isAbandoned;

        /** When its caller closed the connection; NaN while it waits. */
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

    /** The head of a request came to a worker. */
    static final class Arrival {
        final double arrivedAt;
        final String workerId;

        /** The worker has said, under the request's id, that it did not and will not run it. */
        boolean isRejected;

        Arrival(double arrivedAt, String workerId) {
            this.arrivedAt = arrivedAt;
            this.workerId = workerId;
        }
    }

    /** An answer that a worker formed for a request. */
    private record WorkerResponse(String requestId, int status, byte[] body) {}

    private final ModelNetwork network;
    private final double retryRatio;
    private final double retrySlack;
    private final double retryWindow;
    private final Map<String, ClientRequest> requests = new LinkedHashMap<>();
    private final Map<String, WorkerResponse> responsesByStamp = new HashMap<>();
    private int stampCount;

    ModelRecord(ModelNetwork network, double retryRatio, double retrySlack, double retryWindow) {
        this.network = network;
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

    /** Some other request that is, or was, under way. */
    String otherRequestId(String excludedId) {
        List<String> ids = new ArrayList<>(requests.keySet());
        String other = ids.get(network.random.nextInt(ids.size()));
        return other.equals(excludedId) ? "stranger" : other;
    }

    // ---- What workers see ----

    Arrival onArrival(String id, String workerId) {
        ClientRequest request = requests.get(id);
        network.check(request != null, "UNASKED: a worker got " + id);
        Arrival arrival = new Arrival(network.now(), workerId);
        if (request == null) {
            return arrival;
        }
        network.check(
                !isCancellationOverdue(request),
                "GONE: " + id + " goes out after its caller's close");
        for (Arrival earlier : request.arrivals) {
            network.check(
                    request.safe || earlier.isRejected,
                    "TWICE: unsafe " + id + " goes out again without Not-Executed");
        }
        network.check(
                request.notExecutedResponseCount == 0,
                "REFUSED: " + id + " goes out after a promise");
        request.arrivals.add(arrival);
        Set<String> workers = new HashSet<>();
        request.arrivals.forEach(each -> workers.add(each.workerId));
        network.check(
                workers.size() <= Math.max(1, request.attempts),
                "MaxAttempts: " + id + " came to " + workers.size() + " workers");
        return arrival;
    }

    void onExecution(Message received, String function) {
        ClientRequest request = requests.get(received.field("request-id"));
        if (request == null) {
            return;
        }
        request.executionCount++;
        network.check(
                function.equals(DataPlaneSimulation.FUNCTION),
                "ROUTE: a worker of " + function + " ran " + request.id);
        network.check(
                request.safe || request.executionCount == 1,
                "TWICE: unsafe " + request.id + " ran");
        network.check(
                request.safe || request.notExecutedResponseCount == 0,
                "REFUSED: unsafe " + request.id + " ran after a promise");
        network.check(
                request.target.equals(received.target())
                        && Arrays.equals(request.body, received.body()),
                "UNASKED: " + request.id + " was changed");
    }

    private boolean isCancellationOverdue(ClientRequest request) {
        return network.now() > request.abandonedAt + MAX_CANCELLATION_DELAY_MS;
    }

    /** A worker is still at work on it, on a connection that was not closed. */
    void onStillRunning(String id) {
        ClientRequest request = requests.get(id);
        network.check(
                request == null || !request.safe || !isCancellationOverdue(request),
                "GONE: a worker is at work on " + id + ", which may be repeated");
    }

    /** The stamp of an answer that a worker forms for this request. */
    String newStamp(String id, int status, byte[] body) {
        String stamp = "stamp-" + stampCount++;
        responsesByStamp.put(stamp, new WorkerResponse(id, status, body));
        return stamp;
    }

    // ---- What callers see ----

    void onResponse(ClientRequest request, Message response) {
        int status = response.status();
        request.responseCount++;
        network.check(request.responseCount == 1, "two answers to " + request.id);
        network.check(
                network.now() < request.expiry + 100, "answered after its deadline: " + request.id);
        String stamp = response.field("server-stamp");
        WorkerResponse workerResponse = stamp == null ? null : responsesByStamp.get(stamp);
        network.check(
                status >= 300 || workerResponse != null,
                "MIXED: a success without a worker's stamp");
        if (workerResponse != null) {
            network.check(
                    workerResponse.requestId.equals(request.id),
                    "MIXED: " + request.id + " got the answer of " + workerResponse.requestId);
            network.check(
                    workerResponse.status == status,
                    "MIXED: " + status + " where the worker said " + workerResponse.status);
            network.check(
                    Arrays.equals(workerResponse.body, response.body()),
                    "MIXED: the body of " + request.id + " is not the worker's");
            network.check(
                    response.field("content-encoding") == null, "MIXED: encoded " + request.id);
        }
        if (NOT_EXECUTED_STATUSES.contains(status)) {
            request.notExecutedResponseCount++;
            network.check(
                    request.safe || request.executionCount == 0,
                    "REFUSED: " + status + " for unsafe " + request.id + ", which ran");
        }
    }

    /** At the end of a history. */
    void checkCompletedHistory() {
        List<Double> retryTimes = new ArrayList<>();
        for (ClientRequest request : requests.values()) {
            network.check(
                    request.responseCount == 1 || request.isAbandoned,
                    request.id + " has " + request.responseCount + " answers");
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
                    "BUDGET: " + (last - first + 1) + " repeats of " + requestCount + " requests");
        }
    }

    int served() {
        return (int)
                requests.values().stream()
                        .filter(each -> each.executionCount > 0 && each.responseCount == 1)
                        .count();
    }
}
