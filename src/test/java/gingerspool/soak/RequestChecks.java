package gingerspool.soak;

import gingerspool.soak.PlatformClient.Outcome;
import gingerspool.soak.PlatformClient.Request;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Judges the requests of {@link PlatformSoakTest} by the rules of the platform, against the
 * operator's own log and the faults that were injected. Times are System.nanoTime().
 */
final class RequestChecks {
    /** Trouble counts for this long (ContactMs). */
    private static final long CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(4000);

    /**
     * A request whose connection ends later than this is lost, one that an instance got whenever it
     * ends (LossSlackMs).
     */
    private static final long LOSS_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** A request must be answered so long after its route's time-out. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** More late requests than this, and more than half of those at their time-out, are a fault. */
    private static final int MAX_LATE = 8;

    /** Later routes are served at least this fraction as often as the first one. */
    private static final double MIN_SERVED_FRACTION = 0.25;

    /** Routes with fewer requests are not compared. */
    private static final int MIN_COMPARED_REQUESTS = 20;

    private static final int NOT_FOUND = 404;

    /** The requests of one route in calm times. */
    private static final class Share {
        int served;
        int all;

        double fraction() {
            return (double) served / all;
        }
    }

    private final PlatformProcesses platform;
    private final ConfigurationLog configurations;
    private final PlatformFaults faults;
    private final List<String> violations;

    /** From here on all machines are in touch. */
    private final long calmFromNanos;

    RequestChecks(
            PlatformProcesses platform,
            ConfigurationLog configurations,
            PlatformFaults faults,
            long calmFromNanos,
            List<String> violations) {
        this.platform = platform;
        this.configurations = configurations;
        this.faults = faults;
        this.calmFromNanos = calmFromNanos;
        this.violations = violations;
    }

    void check(List<Request> requests) {
        requests.forEach(this::check);
        checkLateResponses(requests);
    }

    private void check(Request request) {
        if (!request.mine()) {
            violations.add("response to another request: " + request);
        }
        if (request.outcome() == Outcome.SILENT && !isInTrouble(request)) {
            violations.add("no response at all: " + request);
        }
        boolean isLost =
                platform.hasArrived(request.id())
                        || request.ended() - request.sent() > LOSS_SLACK_NANOS;
        if (request.outcome() == Outcome.CLOSED && isLost && !isInTrouble(request)) {
            violations.add("connection closed without a response: " + request);
        }
        if (request.service() != null) {
            checkService(request);
        }
        if (request.status() == NOT_FOUND) {
            checkMissingRoute(request);
        }
    }

    /** A request runs at a service that its route led to, in calm times not long before it. */
    private void checkService(Request request) {
        boolean everLed =
                configurations.everHeld(
                        request.ended(), each -> each.leadsTo(request.target(), request.service()));
        if (!everLed) {
            violations.add("ROUTE: no configuration leads there: " + request);
        } else if (isCalm(request)
                && !configurations.mayHold(
                        request.sent(),
                        request.ended(),
                        each -> each.leadsTo(request.target(), request.service()))) {
            violations.add("CONFIG: run as only an older version allows: " + request);
        }
    }

    private void checkMissingRoute(Request request) {
        if (isCalm(request)
                && !configurations.mayHold(
                        request.sent(),
                        request.ended(),
                        each -> each.find(request.target()) == null)) {
            violations.add("CONFIG: 404 though the route is there: " + request);
        }
    }

    private boolean isCalm(Request request) {
        return request.sent() - calmFromNanos >= 0;
    }

    private boolean isInTrouble(Request request) {
        return faults.isUnplannedTrouble(
                request.scheduler(), request.sent() - CONTACT_NANOS, request.ended());
    }

    /** Of the requests that are unanswered at their time-out, half get an answer soon after. */
    private void checkLateResponses(List<Request> requests) {
        int unanswered = 0;
        int late = 0;
        for (Request request : requests) {
            long elapsed = request.ended() - request.sent();
            long timeout = TimeUnit.MILLISECONDS.toNanos(timeoutMs(request));
            if (request.outcome() != Outcome.NOT_CONNECTED
                    && elapsed > timeout
                    && !isInTrouble(request)) {
                unanswered++;
                late += elapsed > timeout + LATE_NANOS ? 1 : 0;
            }
        }
        if (late >= MAX_LATE && late > unanswered / 2) {
            violations.add(late + " of " + unanswered + " had no response 0.5 s past their time");
        }
    }

    /** The longest time that any configuration gives the request, at most the client's own. */
    private int timeoutMs(Request request) {
        int longest = 0;
        for (SoakConfiguration each : configurations.all()) {
            SoakConfiguration.Route route = each.find(request.target());
            longest = route == null ? longest : Math.max(longest, route.timeoutMs());
        }
        return Math.min(longest, PlatformClient.REQUEST_TIMEOUT_MS);
    }

    /** In calm times all routes are served; the configuration has not changed in this span. */
    void checkRoutesServed(List<Request> requests, long fromNanos, long toNanos) {
        SoakConfiguration configuration = configurations.newest();
        SortedMap<String, Share> shares = new TreeMap<>();
        for (Request request : requests) {
            SoakConfiguration.Route route = configuration.find(request.target());
            if (route != null && request.sent() >= fromNanos && request.sent() < toNanos) {
                Share share = shares.computeIfAbsent(route.name(), name -> new Share());
                share.all++;
                share.served += request.status() == 200 ? 1 : 0;
            }
        }
        Share first = shares.get(RouteChanges.FIRST_ROUTE);
        if (first == null || first.all < MIN_COMPARED_REQUESTS || first.served == 0) {
            violations.add("the first route was not served in calm times");
            return;
        }
        shares.forEach(
                (route, share) -> {
                    if (share.all >= MIN_COMPARED_REQUESTS
                            && share.fraction() < MIN_SERVED_FRACTION * first.fraction()) {
                        violations.add(
                                "CONFIG: route %s served %d of %d, the first one %d of %d"
                                        .formatted(
                                                route,
                                                share.served,
                                                share.all,
                                                first.served,
                                                first.all));
                    }
                });
    }
}
