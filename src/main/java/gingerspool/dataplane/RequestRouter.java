package gingerspool.dataplane;

import gingerspool.configuration.Configuration;
import gingerspool.configuration.Limits;
import gingerspool.configuration.Route;
import gingerspool.configuration.RouteTable;
import gingerspool.configuration.Service;
import gingerspool.settings.NodeSettings;
import gingerspool.store.ConnectionPool;
import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles clients' requests from arrival to response. Owns the client connections, the current
 * route table, one {@link FunctionQueue} for each function that has been requested, and the expiry
 * timer of each request.
 *
 * <p>Created by {@link SchedulerNode}; all calls are made on its event loop, and times are in
 * milliseconds.
 */
final class RequestRouter implements Inbound.Handler, FunctionQueue.Environment {
    private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);

    /** Limits that apply where the configuration sets none. */
    private static final double DEFAULT_IDLE_TIMEOUT_MS = 15_000;

    private static final double DEFAULT_READ_TIMEOUT_MS = 5000;
    private static final int DEFAULT_HEADER_BYTES = 16 * 1024;
    private static final int DEFAULT_BODY_BYTES = 256 * 1024;

    /** The largest limits that the configuration can set. */
    private static final int MAX_HEADER_BYTES = 1 << 20;

    private static final int MAX_BODY_BYTES = 1 << 26;

    /**
     * A request counts as a first attempt if at least this fraction of its route's time-out
     * remains.
     */
    private static final double FIRST_ATTEMPT_FRACTION = 0.97;

    /** The remaining time of a request that doesn't state it, in milliseconds. */
    private static final double DEFAULT_REMAINING_MS = 10_000;

    /** Sent in responses while there is no configuration yet. */
    private static final String RETRY_SOON = "Retry-After: 0.5";

    /** The part of the links to the control nodes that the router uses. */
    interface ControlPlane {
        /** Sends a message to the leader; returns false if there is no leader. */
        boolean sendToLeader(Object message);

        /** How long there has been no leader, in milliseconds; 0 if there is one. */
        double leaderlessFor();
    }

    /** Request counters since the start, for the log. */
    record Counts(int taken, int served, int refused, int failed, int instanceRejections) {}

    private final EventLoop loop;
    private final NodeSettings settings;
    private final ConnectionPool pool;
    private final ControlPlane controlPlane;

    /** Called each time that a client connection has closed. */
    private final Runnable onConnectionClosed;

    private final Set<Inbound> connections = new LinkedHashSet<>();
    private final Set<Inbound> idleConnections = new LinkedHashSet<>();
    private final Set<PendingRequest> pending = new HashSet<>();
    private final Map<String, FunctionQueue> queues = new HashMap<>();
    private final ArrayDeque<Integer> freePoolIndexes = new ArrayDeque<>();
    private int nextPoolIndex;
    private Configuration configuration = Configuration.getDefaultInstance();
    private RouteTable routes;
    private Map<String, List<Route>> routesByService = Map.of();
    private final SchedulerCount recentSchedulerCounts;
    private boolean isDraining;
    private int receivedCount;
    private int servedCount;
    private int refusedCount;
    private int failedCount;

    RequestRouter(
            EventLoop loop,
            NodeSettings settings,
            ConnectionPool pool,
            ControlPlane controlPlane,
            Runnable onConnectionClosed) {
        this.loop = loop;
        this.settings = settings;
        this.pool = pool;
        this.controlPlane = controlPlane;
        this.onConnectionClosed = onConnectionClosed;
        recentSchedulerCounts = new SchedulerCount(settings.retryBudgetWindow);
    }

    // ---- Configuration ----

    Configuration configuration() {
        return configuration;
    }

    boolean isConfigured() {
        return routes != null;
    }

    /** Applies a configuration to all requests that arrive from now on. */
    void configure(Configuration newest) {
        boolean limitsChanged = !newest.getLimits().equals(configuration.getLimits());
        configuration = newest;
        routes = new RouteTable(newest);
        routesByService = groupByService(newest);
        if (limitsChanged) {
            connections.forEach(this::applyLimits);
        }
        for (Service service : newest.getServicesList()) {
            FunctionQueue queue = queues.get(service.getName());
            if (queue != null) {
                queue.onConfiguration(service, routesTo(service.getName()));
            }
        }
    }

    private static Map<String, List<Route>> groupByService(Configuration configuration) {
        Map<String, List<Route>> all = new HashMap<>();
        for (Route route : configuration.getRoutesList()) {
            all.computeIfAbsent(route.getService(), name -> new ArrayList<>(1)).add(route);
        }
        return all;
    }

    private List<Route> routesTo(String service) {
        return routesByService.getOrDefault(service, List.of());
    }

    /** Records how many schedulers share the platform's limits, including this one. */
    void setSchedulerCount(int count) {
        recentSchedulerCounts.report(loop.now(), count);
    }

    // ---- Queues ----

    Collection<FunctionQueue> queues() {
        return queues.values();
    }

    /** The queue of this function; null if the function has not been requested yet. */
    FunctionQueue queue(String function) {
        return queues.get(function);
    }

    /** All slots that this scheduler holds, by instance. */
    Map<String, Integer> heldSlots() {
        Map<String, Integer> held = new LinkedHashMap<>();
        queues.values().forEach(queue -> queue.addHoldings(held));
        return held;
    }

    private FunctionQueue queueFor(Route route) {
        return queues.computeIfAbsent(
                route.getService(),
                name -> {
                    FunctionQueue queue = new FunctionQueue(this, name);
                    for (Service service : configuration.getServicesList()) {
                        if (service.getName().equals(name)) {
                            queue.onConfiguration(service, routesTo(name));
                        }
                    }
                    return queue;
                });
    }

    // ---- Client connections ----

    /**
     * Takes over a client's connection. The client may have been sending since `earliestArrival`,
     * in milliseconds on the loop's clock.
     */
    void accept(AsynchronousSocketChannel channel, double earliestArrival) {
        Inbound connection =
                new Inbound(loop, channel, this, DEFAULT_IDLE_TIMEOUT_MS, DEFAULT_READ_TIMEOUT_MS);
        connection.mayHoldSince(earliestArrival);
        applyLimits(connection);
        connections.add(connection);
        connection.endAfterAnswer(isDraining);
        connection.start();
    }

    /** Applies the configured limits to a connection, and the defaults where none are set. */
    private void applyLimits(Inbound connection) {
        Limits limits = configuration.getLimits();
        connection.limits(
                limits.getIdleTimeout() > 0 ? limits.getIdleTimeout() : DEFAULT_IDLE_TIMEOUT_MS,
                limits.getHeaderTimeout() > 0 ? limits.getHeaderTimeout() : DEFAULT_READ_TIMEOUT_MS,
                limits.getHeaderBytes() > 0
                        ? (int) Math.min(limits.getHeaderBytes(), MAX_HEADER_BYTES)
                        : DEFAULT_HEADER_BYTES,
                limits.getBodyBytes() > 0
                        ? (int) Math.min(limits.getBodyBytes(), MAX_BODY_BYTES)
                        : DEFAULT_BODY_BYTES);
    }

    int connections() {
        return connections.size();
    }

    int inFlight() {
        return pending.size();
    }

    Counts counts() {
        int instanceRejections =
                queues.values().stream().mapToInt(queue -> queue.rejections()).sum();
        return new Counts(
                receivedCount, servedCount, refusedCount, failedCount, instanceRejections);
    }

    /** Begins the shutdown: from now on each connection closes after its next response. */
    void startDraining() {
        isDraining = true;
        connections.forEach(connection -> connection.endAfterAnswer(true));
    }

    /**
     * Closes idle connections: used ones at once, those without any request yet once they are
     * `minUnusedMs` old.
     */
    void closeIdle(double minUnusedMs) {
        List.copyOf(idleConnections).forEach(connection -> connection.closeIfIdle(0, minUnusedMs));
    }

    @Override
    public void idle(Inbound connection, boolean isIdle) {
        if (isIdle) {
            idleConnections.add(connection);
        } else {
            idleConnections.remove(connection);
        }
    }

    @Override
    public void unreadable(BadMessage fault) {
        refusedCount++;
    }

    @Override
    public void closed(Inbound connection) {
        connections.remove(connection);
        idleConnections.remove(connection);
        onConnectionClosed.run();
    }

    // ---- Requests ----

    @Override
    public void asked(Inbound from, Message request) {
        receivedCount++;
        if (routes == null) {
            refusedCount++;
            from.answer(503, List.of(RETRY_SOON), "no configuration here yet");
            return;
        }
        String host = request.field("host");
        Route route = host == null ? null : routes.find(host, request.target());
        String id = request.field("request-id");
        if (route == null || id == null) {
            refusedCount++;
            from.answer(
                    route == null ? 404 : 400,
                    List.of(),
                    route == null ? "no such route" : "no Request-Id");
            return;
        }
        admit(from, request, route, id);
    }

    /** Queues a request that has a route and an id, and starts its expiry timer. */
    private void admit(Inbound from, Message request, Route route, String id) {
        double now = loop.now();
        double remaining = parseRemaining(request.field("remaining-milliseconds"));
        // A request with less time than its route allows was rejected before or is a nested call by
        // an instance.
        double maxTimeout = route.hasTimeout() ? route.getTimeout() : remaining;
        boolean isFirstAttempt = remaining >= FIRST_ATTEMPT_FRACTION * maxTimeout;
        double dueAt = now + Math.max(1, route.getAim());
        double urgentAt = dueAt - Math.max(0, maxTimeout - remaining);
        PendingRequest admitted =
                new PendingRequest(id, from, request, route, now, dueAt, urgentAt, isFirstAttempt);
        // The client's time runs from when it sent the request, so the transit time is deducted.
        double elapsed = Math.max(0, now - from.arrivedFrom());
        admitted.expiry = now + Math.max(1, Math.min(remaining, maxTimeout) - elapsed);
        pending.add(admitted);
        from.whenGone(
                () -> {
                    admitted.client = null;
                    removePending(admitted);
                    queueFor(route).discard(admitted);
                });
        admitted.expiryTimer = loop.schedule(admitted.expiry - now, () -> onExpired(admitted));
        queueFor(route).enqueue(admitted);
    }

    /** The remaining time that a request states, or the default if it is missing or malformed. */
    private static double parseRemaining(String field) {
        try {
            return field == null ? DEFAULT_REMAINING_MS : Double.parseDouble(field);
        } catch (NumberFormatException e) {
            return DEFAULT_REMAINING_MS;
        }
    }

    private void onExpired(PendingRequest request) {
        abort(request, 504, "out of time");
    }

    /**
     * Ends a request without a result: with 503, which promises that it has not run, if no attempt
     * can have run, otherwise with `statusIfSent`.
     */
    private void abort(PendingRequest request, int statusIfSent, String message) {
        FunctionQueue queue = queues.get(request.route.getService());
        try {
            queue.discard(request);
        } catch (RuntimeException e) {
            // Guards the answer: a client must not wait for ever because its function's queue
            // fails.
            LOG.error("request.discard_failed function={}", request.route.getService(), e);
        }
        boolean mayHaveRun = request.mayHaveRun();
        answer(request, mayHaveRun ? statusIfSent : 503, List.of(), InstanceProtocol.utf8(message));
    }

    /**
     * Answers all pending requests before the process exits, so that no client's connection is
     * closed without a response.
     */
    void abortAll() {
        List.copyOf(pending).forEach(request -> abort(request, 502, "the scheduler ends"));
    }

    @Override
    public void answer(PendingRequest request, int status, List<String> fields, byte[] body) {
        Inbound client = request.client;
        removePending(request);
        servedCount += status < 300 ? 1 : 0;
        refusedCount += status == 503 ? 1 : 0;
        failedCount += status >= 300 && status != 503 ? 1 : 0;
        if (client != null) {
            client.answer(status, fields, body);
        }
    }

    private void removePending(PendingRequest request) {
        pending.remove(request);
        request.client = null;
        if (request.expiryTimer != null) {
            request.expiryTimer.cancel(false);
        }
    }

    // ---- Environment of the queues ----

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public ConnectionPool pool() {
        return pool;
    }

    @Override
    public NodeSettings settings() {
        return settings;
    }

    @Override
    public int schedulerCount() {
        return recentSchedulerCounts.max(loop.now());
    }

    @Override
    public boolean sendToLeader(Object message) {
        return controlPlane.sendToLeader(message);
    }

    @Override
    public double leaderlessFor() {
        return controlPlane.leaderlessFor();
    }

    @Override
    public int allocatePoolIndex() {
        Integer freeIndex = freePoolIndexes.poll();
        return freeIndex != null ? freeIndex : nextPoolIndex++;
    }

    @Override
    public void releasePoolIndex(int poolIndex) {
        pool.setKeepIdle(poolIndex, false);
        pool.setKeepIdle(poolIndex, true);
        freePoolIndexes.add(poolIndex);
    }
}
