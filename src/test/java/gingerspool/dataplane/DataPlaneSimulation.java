package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.peers.DecisionTrace;
import gingerspool.settings.NodeSettings;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import gingerspool.store.ConnectionPool;
import gingerspool.wire.Message;
import gingerspool.wire.RequestSafeguard;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * A seeded, single-threaded simulation of one scheduler's data plane in memory. A {@link
 * RequestRouter} serves modelled clients that may abandon requests and forwards to modelled workers
 * that may respond wrongly. The leader is lost and replaced, recalls slots, and instances are
 * replaced by others at the same address. If asked to, an operator adds, moves, changes and removes
 * routes in series; services lose all their routes and get them back. {@link ModelRecord} keeps an
 * independent account of what was run and answered and checks it.
 *
 * <p>Run by {@link DataPlaneSimulationTest}; times are in milliseconds.
 */
final class DataPlaneSimulation implements RequestRouter.ControlPlane, ModelClient.Owner {
    /** How long clients send requests and faults are injected. */
    private static final double ACTIVE_PHASE_MS = 6000;

    /** How long pending requests may complete afterwards, without new requests or faults. */
    private static final double SETTLING_PHASE_MS = 4000;

    private static final double FIRST_FAULT_MS = 500;
    private static final int CLIENT_COUNT = 6;
    private static final int ADDRESS_COUNT = 4;

    /** How long requests are sent and judged after the faults have ended, if routes change. */
    private static final double CALM_PHASE_MS = 4000;

    /** How long after the faults have ended requests are not judged yet. */
    private static final double RECOVERY_MS = 2500;

    /** The longest time between two changes of the routes. */
    private static final int MAX_CHANGE_INTERVAL_MS = 300;

    /** No route ever leads to this function. */
    private static final String UNROUTED_FUNCTION = "g";

    private static final String ZONE = "a";

    private final ModelNetwork network;
    private final ModelRecord record;
    private final NodeSettings settings;
    private final RequestRouter router;
    private final RouteHistory routes = new RouteHistory();

    /** Whether an operator changes the routes. */
    private final boolean changesRoutes;

    /** The newest configuration, in force at the scheduler and at each leader. */
    private Configuration configuration;

    /** The fraction of requests to which workers respond with a random behaviour. */
    private final double workerFaultRate;

    private final Map<String, ModelWorker> workers = new LinkedHashMap<>();
    private final Map<Integer, ModelWorker> workersByPort = new LinkedHashMap<>();

    /** The allocator of the current leader; null while there is none. */
    private SlotAllocator allocator;

    private long term;

    /** Whether the scheduler is registered with the current leader. */
    private boolean hasLeader;

    private double leaderLostAt;

    /** When the latest message between scheduler and leader arrives: they arrive in order. */
    private double lastDeliveryAt;

    private int requestCount;
    private int instanceCount;
    private boolean isSettling;

    /** Whether faults and changes of the routes have ended. */
    private boolean isCalm;

    private boolean mayDrain;

    /** The trace of decisions; null unless requested. */
    private DecisionTrace trace;

    DataPlaneSimulation(
            NodeSettings settings,
            long seed,
            Set<RequestSafeguard> disabledSafeguards,
            boolean changesRoutes) {
        this.settings = settings;
        this.changesRoutes = changesRoutes;
        network = new ModelNetwork(seed, disabledSafeguards);
        record =
                new ModelRecord(
                        network,
                        routes,
                        settings.retryBudgetRatio,
                        settings.retryBudgetSlack,
                        settings.retryBudgetWindow);
        workerFaultRate = network.random.nextInt(4) * 0.3;
        ConnectionPool pool = new ConnectionPool(network, settings.heartbeatInterval / 4, 5000, 40);
        router = new RequestRouter(network, settings, pool, this, () -> {});
        apply(RouteConfigurations.fixed());
    }

    // ---- The operator ----

    /** Puts a configuration in force everywhere. */
    private void apply(Configuration newest) {
        configuration = newest;
        routes.add(network.now(), newest);
        network.execute(() -> router.configure(newest));
        if (allocator != null) {
            allocator.configure(newest);
        }
    }

    /** Changes the routes and schedules the next change. */
    private void changeRoutes() {
        if (isCalm || isSettling) {
            return;
        }
        apply(RouteConfigurations.random(network.random, configuration.getVersion() + 1, false));
        network.runAt(
                network.now() + network.random.nextInt(MAX_CHANGE_INTERVAL_MS), this::changeRoutes);
    }

    /**
     * Ends all faults and changes: each route is there, and each service has sound instances at
     * addresses of their own.
     */
    private void beginCalmPhase() {
        isCalm = true;
        for (int port = 1; port <= ADDRESS_COUNT; port++) {
            removeInstance(port);
        }
        for (int port = ADDRESS_COUNT + 1; port <= 2 * ADDRESS_COUNT; port++) {
            boolean isFirst = port % 2 == 0;
            startInstance(
                    port,
                    isFirst
                            ? RouteConfigurations.FIRST_SERVICE
                            : RouteConfigurations.SECOND_SERVICE,
                    0);
        }
        apply(RouteConfigurations.random(network.random, configuration.getVersion() + 1, true));
    }

    // ---- Instances and the leader ----

    private static InetSocketAddress address(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Starts an instance of a function at a port, whichever instance used it before. */
    private void startInstance(int port, String function) {
        startInstance(port, function, workerFaultRate);
    }

    private void startInstance(int port, String function, double faultRate) {
        String id = "i-" + instanceCount++;
        ModelWorker worker = new ModelWorker(network, record, id, function, faultRate);
        workers.put(id, worker);
        workersByPort.put(port, worker);
        network.listen(address(port), worker);
        if (allocator != null) {
            addToAllocator(port, worker);
        }
    }

    private String randomFunction() {
        if (network.random.nextInt(3) == 0) {
            return UNROUTED_FUNCTION;
        }
        return changesRoutes && network.random.nextBoolean()
                ? RouteConfigurations.SECOND_SERVICE
                : RouteConfigurations.FIRST_SERVICE;
    }

    private void addToAllocator(int port, ModelWorker worker) {
        allocator.addInstance(
                network.now(),
                worker.id,
                allocator.catalog().findOrAdd(worker.function),
                "127.0.0.1:" + port,
                ZONE,
                "host",
                RouteConfigurations.SLOTS_PER_INSTANCE,
                Instance.State.READY);
    }

    /**
     * Replaces the instance at a port by another, possibly of another function. The old one may
     * keep running its requests, and the scheduler may not be notified.
     */
    private void replaceInstance(int port) {
        ModelWorker worker = workersByPort.get(port);
        if (network.random.nextBoolean()) {
            worker.crash();
        }
        Instance instance = allocator == null ? null : allocator.instance(worker.id);
        if (instance != null && network.random.nextBoolean()) {
            allocator.removeInstance(network.now(), instance);
            deliverToScheduler(term, () -> withdraw(worker.id));
        }
        network.stopListening(address(port));
        network.runAt(
                network.now() + network.random.nextInt(200),
                () -> {
                    if (!isCalm) {
                        startInstance(port, randomFunction());
                    }
                });
    }

    /** Ends the instance at a port; leader and scheduler are notified. */
    private void removeInstance(int port) {
        ModelWorker worker = workersByPort.remove(port);
        worker.crash();
        network.stopListening(address(port));
        Instance instance = allocator == null ? null : allocator.instance(worker.id);
        if (instance != null) {
            allocator.removeInstance(network.now(), instance);
        }
        network.execute(() -> withdraw(worker.id));
    }

    private void withdraw(String instanceId) {
        router.queues().forEach(queue -> queue.withdraw(instanceId));
    }

    /** Runs a task at the scheduler after a delay, unless the leader has changed by then. */
    private void deliverToScheduler(long senderTerm, Runnable task) {
        lastDeliveryAt = Math.max(lastDeliveryAt, network.now() + 2 * network.random.nextDouble());
        network.runAt(
                lastDeliveryAt,
                () -> {
                    if (senderTerm == term) {
                        network.execute(task);
                    }
                });
    }

    /** Runs a task at the leader after a delay, unless the leader has changed by then. */
    private void deliverToLeader(Runnable task) {
        long senderTerm = term;
        lastDeliveryAt = Math.max(lastDeliveryAt, network.now() + 2 * network.random.nextDouble());
        network.runAt(
                lastDeliveryAt,
                () -> {
                    if (senderTerm == term && allocator != null) {
                        task.run();
                    }
                });
    }

    /** Starts the leader of a new term, with which the scheduler registers. */
    private void startLeader() {
        long ownTerm = ++term;
        allocator =
                new SlotAllocator(
                        settings.heartbeatInterval,
                        network.now(),
                        (schedulerId, message) ->
                                deliverToScheduler(ownTerm, () -> receive(message)));
        allocator.configure(configuration);
        workersByPort.forEach(this::addToAllocator);
        Map<String, Integer> heldSlots = router.heldSlots();
        allocator.onRegister(
                network.now(),
                "front",
                new Messages.Register("front", ZONE, 1, Map.copyOf(heldSlots)));
        deliverToScheduler(
                ownTerm,
                () -> {
                    hasLeader = true;
                    router.queues().forEach(FunctionQueue::onRegistered);
                });
        tickAllocator(ownTerm);
    }

    private void tickAllocator(long leaderTerm) {
        if (leaderTerm == term && allocator != null) {
            allocator.tick(network.now());
            network.runAt(network.now() + 20, () -> tickAllocator(leaderTerm));
        }
    }

    private void receive(Object message) {
        if (message instanceof Messages.SlotGrant grant) {
            FunctionQueue queue = router.queue(grant.function());
            if (queue != null) {
                queue.onGrant(grant);
            }
        } else if (message instanceof Messages.SlotRecall recall) {
            FunctionQueue queue = router.queue(recall.function());
            if (queue != null) {
                queue.onRecall(recall.slots());
            }
        }
    }

    /** Traces all messages to the leader and all responses to clients from now on. */
    DecisionTrace startTrace() {
        trace = new DecisionTrace();
        return trace;
    }

    private void traceDecision(String kind, Object... values) {
        if (trace != null) {
            trace.add(network.now(), kind, values);
        }
    }

    @Override
    public boolean sendToLeader(Object message) {
        if (!hasLeader) {
            return false;
        }
        traceDecision(message.getClass().getSimpleName(), message);
        deliverToLeader(
                () -> {
                    if (message instanceof Messages.SlotDemand demand) {
                        allocator.onDemand(network.now(), "front", demand);
                    } else if (message instanceof Messages.SlotReturn slotReturn) {
                        allocator.onReturn(network.now(), "front", slotReturn);
                    }
                });
        return true;
    }

    @Override
    public double leaderlessFor() {
        return hasLeader ? 0 : network.now() - leaderLostAt;
    }

    /** Injects one random fault and schedules the next. */
    private void injectFault() {
        if (isCalm || isSettling) {
            return;
        }
        switch (network.random.nextInt(5)) {
            case 0 -> {
                term++;
                allocator = null;
                hasLeader = false;
                leaderLostAt = network.now();
                network.runAt(network.now() + network.random.nextInt(1500), this::startLeader);
            }
            case 1 ->
                    deliverToScheduler(
                            term,
                            () ->
                                    receive(
                                            new Messages.SlotRecall(
                                                    RouteConfigurations.FIRST_SERVICE, 1)));
            case 2 -> router.setSchedulerCount(1 + network.random.nextInt(4));
            case 3 -> {
                if (mayDrain && network.now() > 1_000_000 + ACTIVE_PHASE_MS * 0.7) {
                    router.startDraining();
                }
            }
            default -> replaceInstance(1 + network.random.nextInt(ADDRESS_COUNT));
        }
        network.runAt(network.now() + 200 + network.random.nextInt(1500), this::injectFault);
    }

    // ---- Clients ----

    @Override
    public void accept(ModelNetwork.Channel connection) {
        router.accept(connection, network.noticedAt());
    }

    @Override
    public boolean isSettling() {
        return isSettling;
    }

    @Override
    public int nextRequestNumber() {
        return requestCount++;
    }

    @Override
    public void onResponse(ModelRecord.ClientRequest request, Message response) {
        traceDecision("answer", request.id, response.status(), response.field("retry-after"));
    }

    /** Runs the simulation and returns the first violation, or null if there is none. */
    String run() {
        for (int port = 1; port <= ADDRESS_COUNT; port++) {
            startInstance(port, RouteConfigurations.FIRST_SERVICE);
        }
        startLeader();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            new ModelClient(network, record, this).scheduleNextRequest(ModelClient.MAX_PAUSE_MS);
        }
        mayDrain = network.random.nextInt(4) == 0;
        network.runAt(network.now() + FIRST_FAULT_MS, this::injectFault);
        if (changesRoutes) {
            network.runAt(network.now(), this::changeRoutes);
        }
        network.runUntil(network.now() + ACTIVE_PHASE_MS);
        double judgedFrom = network.now() + RECOVERY_MS;
        if (changesRoutes) {
            beginCalmPhase();
            network.runUntil(network.now() + CALM_PHASE_MS);
        }
        isSettling = true;
        network.runUntil(network.now() + SETTLING_PHASE_MS);
        if (changesRoutes && network.violation() == null) {
            record.checkRoutesServed(judgedFrom);
        }
        if (network.violation() == null) {
            record.checkCompletedHistory();
        }
        return network.violation();
    }

    int served() {
        return record.served();
    }
}
