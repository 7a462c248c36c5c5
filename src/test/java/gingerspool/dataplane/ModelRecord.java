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
    private static final double GONE_MS = 500;

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** One request as a caller sent it. */
    static final class Sent {
        final String id;
        final boolean safe;
        final int attempts;
        final double at;
        final double expiry;
        final String target;
        final byte[] body;
        int ran;
        final List<Arrival> arrivals = new ArrayList<>();
        int answered;
        int promised;
        boolean gone;

        /** When its caller closed the connection; NaN while it waits. */
        double goneAt = Double.NaN;

        Sent(
                String id,
                boolean safe,
                int attempts,
                double at,
                double expiry,
                String target,
                byte[] body) {
            this.id = id;
            this.safe = safe;
            this.attempts = attempts;
            this.at = at;
            this.expiry = expiry;
            this.target = target;
            this.body = body;
        }
    }

    /** The head of a request came to a worker. */
    static final class Arrival {
        final double at;
        final String worker;

        /** The worker has said, under the request's id, that it did not and will not run it. */
        boolean refused;

        Arrival(double at, String worker) {
            this.at = at;
            this.worker = worker;
        }
    }

    /** An answer that a worker formed for a request. */
    private record Answer(String id, int status, byte[] body) {}

    private final ModelNetwork network;
    private final double ratio;
    private final double slack;
    private final double window;
    private final Map<String, Sent> all = new LinkedHashMap<>();
    private final Map<String, Answer> byStamp = new HashMap<>();
    private int stamps;

    ModelRecord(ModelNetwork network, double ratio, double slack, double window) {
        this.network = network;
        this.ratio = ratio;
        this.slack = slack;
        this.window = window;
    }

    Sent sent(Sent request) {
        all.put(request.id, request);
        return request;
    }

    Sent find(String id) {
        return all.get(id);
    }

    /** Some other request that is, or was, under way. */
    String otherThan(String id) {
        List<String> ids = new ArrayList<>(all.keySet());
        String other = ids.get(network.chance.nextInt(ids.size()));
        return other.equals(id) ? "stranger" : other;
    }

    // ---- What workers see ----

    Arrival arrived(String id, String worker) {
        Sent request = all.get(id);
        network.check(request != null, "UNASKED: a worker got " + id);
        Arrival arrival = new Arrival(network.now(), worker);
        if (request == null) {
            return arrival;
        }
        network.check(!isLongGone(request), "GONE: " + id + " goes out after its caller's close");
        for (Arrival before : request.arrivals) {
            network.check(
                    request.safe || before.refused,
                    "TWICE: unsafe " + id + " goes out again without Not-Executed");
        }
        network.check(request.promised == 0, "REFUSED: " + id + " goes out after a promise");
        request.arrivals.add(arrival);
        Set<String> workers = new HashSet<>();
        request.arrivals.forEach(a -> workers.add(a.worker));
        network.check(
                workers.size() <= Math.max(1, request.attempts),
                "MaxAttempts: " + id + " came to " + workers.size() + " workers");
        return arrival;
    }

    void ran(Message asked, String function) {
        Sent request = all.get(asked.field("request-id"));
        if (request == null) {
            return;
        }
        request.ran++;
        network.check(
                function.equals(DataPlaneSimulation.FUNCTION),
                "ROUTE: a worker of " + function + " ran " + request.id);
        network.check(request.safe || request.ran == 1, "TWICE: unsafe " + request.id + " ran");
        network.check(
                request.safe || request.promised == 0,
                "REFUSED: unsafe " + request.id + " ran after a promise");
        network.check(
                request.target.equals(asked.target()) && Arrays.equals(request.body, asked.body()),
                "UNASKED: " + request.id + " was changed");
    }

    private boolean isLongGone(Sent request) {
        return network.now() > request.goneAt + GONE_MS;
    }

    /** A worker is still at work on it, on a connection that was not closed. */
    void stillRuns(String id) {
        Sent request = all.get(id);
        network.check(
                request == null || !request.safe || !isLongGone(request),
                "GONE: a worker is at work on " + id + ", which may be repeated");
    }

    /** The stamp of an answer that a worker forms for this request. */
    String stamp(String id, int status, byte[] body) {
        String stamp = "stamp-" + stamps++;
        byStamp.put(stamp, new Answer(id, status, body));
        return stamp;
    }

    // ---- What callers see ----

    void answered(Sent request, Message answer) {
        int status = answer.status();
        request.answered++;
        network.check(request.answered == 1, "two answers to " + request.id);
        network.check(
                network.now() < request.expiry + 100, "answered after its deadline: " + request.id);
        String stamp = answer.field("server-stamp");
        Answer formed = stamp == null ? null : byStamp.get(stamp);
        network.check(status >= 300 || formed != null, "MIXED: a success without a worker's stamp");
        if (formed != null) {
            network.check(
                    formed.id.equals(request.id),
                    "MIXED: " + request.id + " got the answer of " + formed.id);
            network.check(
                    formed.status == status,
                    "MIXED: " + status + " where the worker said " + formed.status);
            network.check(
                    Arrays.equals(formed.body, answer.body()),
                    "MIXED: the body of " + request.id + " is not the worker's");
            network.check(answer.field("content-encoding") == null, "MIXED: encoded " + request.id);
        }
        if (PROMISES.contains(status)) {
            request.promised++;
            network.check(
                    request.safe || request.ran == 0,
                    "REFUSED: " + status + " for unsafe " + request.id + ", which ran");
        }
    }

    /** At the end of a history. */
    void end() {
        List<Double> repeats = new ArrayList<>();
        for (Sent request : all.values()) {
            network.check(
                    request.answered == 1 || request.gone,
                    request.id + " has " + request.answered + " answers");
            request.arrivals.stream().skip(1).forEach(a -> repeats.add(a.at));
        }
        repeats.sort(null);
        for (int first = 0, last = 0; last < repeats.size(); last++) {
            double to = repeats.get(last);
            while (repeats.get(first) < to - window) {
                first++;
            }
            long asked =
                    all.values().stream().filter(r -> r.at > to - window && r.at <= to).count();
            network.check(
                    last - first + 1 <= ratio * asked + slack,
                    "BUDGET: " + (last - first + 1) + " repeats of " + asked + " requests");
        }
    }

    int served() {
        return (int) all.values().stream().filter(r -> r.ran > 0 && r.answered == 1).count();
    }
}
