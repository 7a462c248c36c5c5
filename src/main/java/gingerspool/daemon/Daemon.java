package gingerspool.daemon;

import gingerspool.handover.Handover;
import gingerspool.handover.HandoverOwner;
import gingerspool.logging.AsynchronousLogOutput;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.ConnectionSteering;
import gingerspool.wire.Inbound;
import gingerspool.wire.JsonTree;
import gingerspool.wire.ManagementEndpoint;
import gingerspool.wire.Message;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sun.misc.Signal;

/**
 * A scheduler process, from its start to its end: wires the scheduler, the endpoints for clients
 * and operators, the process lifecycle and the handover to and from other processes of the same
 * scheduler. Started by the `serve` subcommand.
 *
 * <p>Apart from the constructor, the static methods, the reload and the shutdown hook, everything
 * runs on the event loop. Times are milliseconds on its clock.
 */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

    /** Descriptors that are reserved for neither clients nor workers. */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** The remaining descriptors divided by this are for connections to workers. */
    private static final int WORKER_DIVISOR = 4;

    /**
     * The fraction of the client descriptors that tasks may occupy, so that callbacks and health
     * checks are accepted as well.
     */
    private static final double TASK_FRACTION = 0.8;

    /** The descriptors that a process needs at least besides its connections. */
    private static final int OWN_DESCRIPTORS = 24;

    /** The minimum number of descriptors for clients and workers together. */
    private static final int MIN_SHARED_DESCRIPTORS = 16;

    private static final double SUMMARY_INTERVAL_MS = 10_000;

    /** The maximum number of connections from operators, which are part of the reserve. */
    private static final int MAX_MANAGEMENT_CONNECTIONS = 24;

    /**
     * How long tasks may take to finish after the redirect delay of a shutdown, in milliseconds;
     * less if every profile's expiry is shorter.
     */
    private static final double MAX_TASK_PERIOD_MS = 3000;

    /** Tasks unanswered this long before the end of that time are abandoned, in milliseconds. */
    private static final double ABANDON_MARGIN_MS = 300;

    final NodeConfiguration node;
    final Scheduler scheduler;
    final SingleThreadEventLoop loop;
    final ClientEndpoint clients;

    /** Counted down when the process may exit. */
    final CountDownLatch exitLatch = new CountDownLatch(1);

    volatile int exitCode;

    /** The action of SIGHUP, for tests. */
    Runnable hangupAction;

    /** How long the last reload of an operator's file occupied the loop, in milliseconds. */
    volatile double reloadMs;

    private final ProcessLifecycle lifecycle = new ProcessLifecycle();

    /** Null if no management address is configured. */
    final ManagementEndpoint management;

    /** Whether a timer for the next application of the lifecycle is pending. */
    private boolean applyScheduled;

    /** Null if this process cannot hand over to another one. */
    private final Handover handover;

    /** The thread for handover files, which must not block the loop; tests delay it. */
    ExecutorService fileExecutor;

    /** Null if this process cannot hand over to another one. */
    ConnectionSteering steering;

    /** Null if this process cannot hand over to another one. */
    private ConnectionClaims claims;

    /** The thread for the system calls that steer new connections; tests delay it. */
    ExecutorService systemCallExecutor;

    private final ConnectionDraining draining;

    Daemon(NodeConfiguration node) throws IOException {
        this.node = node;
        int workerConnections = (node.sockets - RESERVED_DESCRIPTORS) / WORKER_DIVISOR;
        int clientConnections = node.sockets - RESERVED_DESCRIPTORS - workerConnections;
        loop = new SingleThreadEventLoop();
        scheduler =
                new Scheduler(
                        loop, node, (int) (TASK_FRACTION * clientConnections), workerConnections);
        clients =
                new ClientEndpoint(
                        loop, node.listen, node.management != null, clientConnections, scheduler);
        draining = new ConnectionDraining(lifecycle, clients, scheduler);
        management =
                node.management == null
                        ? null
                        : new ManagementEndpoint(
                                loop,
                                node.management,
                                MAX_MANAGEMENT_CONNECTIONS,
                                new OperatorCalls());
        handover = management == null || node.handoverDirectory == null ? null : createHandover();
        if (handover != null) {
            scheduler.forwardCallbacksTo(handover::forwardCallBack);
        }
        if (handover == null) {
            clients.listen();
        }
    }

    /** Supplies the configuration of the process. */
    interface ConfigurationSource {
        NodeConfiguration read() throws ConfigurationException;
    }

    /**
     * Serves until the process is told to stop.
     *
     * @return the exit code
     */
    public static int serve(Map<String, String> environment) {
        return serve(
                () -> NodeConfiguration.read(environment), d -> {}, d -> d.reload(environment));
    }

    /**
     * The same with a configuration from elsewhere.
     *
     * @param prepare called before the daemon starts
     * @param hangup called on SIGHUP, on the signal's thread
     */
    static int serve(
            ConfigurationSource source, Consumer<Daemon> prepare, Consumer<Daemon> hangup) {
        CompletableFuture<Daemon> created = new CompletableFuture<>();
        onHangup(() -> created.thenAccept(hangup));
        try {
            Daemon daemon = new Daemon(source.read());
            prepare.accept(daemon);
            created.complete(daemon);
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            daemon.loop.submit(daemon::start);
            daemon.exitLatch.await();
            return daemon.exitCode;
        } catch (ConfigurationException e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("config.fault");
            return 2;
        } catch (IOException e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("start.failed");
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Guards against SIGHUP ending the virtual machine, from its start on. */
    private static void onHangup(Runnable action) {
        Signal.handle(new Signal("HUP"), signal -> action.run());
    }

    /**
     * Called on SIGHUP: applies a changed `discovery`; an invalid file changes nothing. Not called
     * on the loop, which must not wait for a file. Synchronized, so that the file read last takes
     * effect.
     */
    synchronized void reload(Map<String, String> environment) {
        try {
            NodeConfiguration newConfiguration = NodeConfiguration.read(environment);
            loop.submit(() -> applyReload(newConfiguration));
        } catch (ConfigurationException e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("config.refused");
        }
    }

    private void applyReload(NodeConfiguration newConfiguration) {
        Set<String> changed = node.changedKeys(newConfiguration);
        changed.remove("discovery");
        LOG.atInfo()
                .addKeyValue("discovery", newConfiguration.discovery)
                .addKeyValue("kept", changed)
                .log("config.reloaded");
        scheduler.followDiscovery(newConfiguration.discovery);
    }

    /** Opens the management endpoint, then serves, or first joins a process that does. */
    void start() {
        try {
            if (management != null) {
                management.open();
            }
            if (handover == null) {
                scheduler.start(node.knownList, true);
                openToClients();
            } else {
                if (handover.hasHandoverFile()) {
                    steering.prepare();
                }
                handover.begin();
            }
            logSummary();
        } catch (BadMessage e) {
            failOnKnownList(e);
        }
    }

    /** Exits because the `known` worker list of the configuration is invalid. */
    private void failOnKnownList(BadMessage fault) {
        LOG.atError().addKeyValue("why", "known is " + fault.getMessage()).log("config.fault");
        exitCode = 2;
        exitLatch.countDown();
    }

    private void openToClients() {
        clients.open();
        lifecycle.started();
        LOG.atInfo()
                .addKeyValue("name", node.name)
                .addKeyValue("at", Address.text(node.listen))
                .log("serving");
        loop.startUpEnded();
        followLifecycle();
    }

    private void logSummary() {
        LoggingEventBuilder line = LOG.atInfo();
        scheduler.summary(line);
        clients.summary(line);
        if (management != null) {
            management.summary(line);
        }
        line.addKeyValue("latest_timer_ms", Math.round(loop.takeMaxTimerLatenessMs()))
                .log("summary");
        loop.schedule(SUMMARY_INTERVAL_MS, this::logSummary);
    }

    /** Called on SIGTERM, on a thread of the virtual machine, which exits when this returns. */
    private void stop() {
        double signalledAt = loop.now();
        // The signal may have arrived while the process was stopped: the period runs from then.
        loop.submit(() -> beginShutdown(loop.earliestArrival(signalledAt)));
        try {
            exitLatch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        AsynchronousLogOutput.awaitInstalled();
    }

    /** Starts the shutdown, whose period runs from this time. */
    void beginShutdown(double from) {
        LOG.atInfo().addKeyValue("in_hand", scheduler.unanswered()).log("leaving");
        if (handover != null) {
            handover.leave();
        }
        lifecycle.shutDown(from, shutdownPeriod());
        followLifecycle();
    }

    /** The time from SIGTERM until unanswered tasks are abandoned, in milliseconds. */
    double shutdownPeriod() {
        return ProcessLifecycle.REDIRECT_DELAY_MS
                + Math.min(MAX_TASK_PERIOD_MS, node.deployment.maxExpiry)
                - ABANDON_MARGIN_MS;
    }

    /** Applies the lifecycle to the endpoints, now and periodically while it changes with time. */
    private void followLifecycle() {
        applyLifecycle();
        if (!applyScheduled && lifecycle.changesWithTime()) {
            applyScheduled = true;
            loop.schedule(
                    ConnectionDraining.APPLY_INTERVAL_MS,
                    () -> {
                        applyScheduled = false;
                        followLifecycle();
                    });
        }
    }

    /** Applies the lifecycle once; ends the process if it may exit. */
    private void applyLifecycle() {
        double now = loop.now();
        draining.apply(now);
        if (exitLatch.getCount() > 0
                && lifecycle.mayExit(now, handover != null && handover.hasPredecessorAndSuccessor())
                && draining.finishIfEmpty(now)) {
            LoggingEventBuilder line = LOG.atInfo();
            scheduler.summary(line);
            line.log("left");
            exitLatch.countDown();
        }
    }

    private void setDrained(boolean drained) {
        if (drained) {
            lifecycle.drain(loop.now());
        } else {
            lifecycle.activate();
        }
        followLifecycle();
    }

    // ---- Handover ----

    private Handover createHandover() throws IOException {
        fileExecutor = blockingThread("files");
        systemCallExecutor = blockingThread("system-calls");
        steering =
                new ConnectionSteering(loop, systemCallExecutor, loop::submit, handshakeTimeout());
        claims =
                new ConnectionClaims(
                        loop,
                        steering,
                        clients,
                        handshakeTimeout(),
                        this::sharesClientsWithPredecessor);
        return new Handover(
                loop,
                fileExecutor,
                loop::submit,
                node.handoverDirectory,
                node.name,
                (InetSocketAddress) management.address(),
                node.deployment.connectTimeout,
                new HandoverCallbacks());
    }

    /** Whether the previous process is alive and no successor has the clients. */
    private boolean sharesClientsWithPredecessor() {
        return handover.hasPredecessor() && !lifecycle.isSuperseded();
    }

    /** A single daemon thread for blocking calls, started with its first task. */
    private static ExecutorService blockingThread(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * The maximum time of a client's handshake, in milliseconds: the connection timeout of the
     * deployment, but not more than clients may keep connecting after they were redirected.
     */
    private double handshakeTimeout() {
        return Math.min(node.deployment.connectTimeout, ProcessLifecycle.REDIRECT_DELAY_MS);
    }

    /** The effects of a handover on this process. */
    private final class HandoverCallbacks implements HandoverOwner {
        /** Whether a worker list was applied and is being followed. */
        private boolean listApplied;

        @Override
        public Map<String, Object> state() {
            Map<String, Object> state = new LinkedHashMap<>();
            state.put(
                    "discovery",
                    scheduler.discovery() == null ? "" : Address.text(scheduler.discovery()));
            state.put("list", scheduler.workerList());
            state.put("learned", scheduler.estimates());
            return state;
        }

        @Override
        public void adoptState(Object state) throws BadMessage {
            List<String> suspended = Handover.suspendedWorkers(state);
            if (!(JsonTree.at(state, "list") instanceof Map)) {
                throw new BadMessage(400, "without a worker list");
            }
            String ownDiscovery =
                    scheduler.discovery() == null ? "" : Address.text(scheduler.discovery());
            // When the state arrives a second time, its list may be older than what discovery has
            // sent since the first.
            if (!listApplied) {
                scheduler.start(
                        JsonTree.at(state, "list"),
                        JsonTree.text("", state, "discovery").equals(ownDiscovery));
                listApplied = true;
                if (JsonTree.at(state, "learned") instanceof Map<?, ?> learned) {
                    scheduler.restoreEstimates(learned);
                } else {
                    LOG.atWarn().log("estimates.none");
                }
            }
            scheduler.setSuspended(suspended);
            setDrained(JsonTree.mark(state, "drained"));
        }

        @Override
        public void adoptSuspensions(List<String> suspended, boolean drained) {
            try {
                if (!listApplied) {
                    scheduler.start(node.knownList, true);
                    listApplied = true;
                }
            } catch (BadMessage e) {
                failOnKnownList(e);
            }
            scheduler.setSuspended(suspended);
            setDrained(drained);
        }

        @Override
        public void bind() throws IOException {
            clients.listen();
        }

        @Override
        public void serve() {
            Daemon.this.openToClients();
        }

        @Override
        public int listenerNumber() {
            return handover.hasPredecessor() ? claims.listenerNumber() : ConnectionSteering.FIRST;
        }

        @Override
        public void claimConnections(int predecessorListener, Consumer<Boolean> done) {
            claims.claim(predecessorListener, done);
        }

        @Override
        public void predecessorGone() {
            if (!lifecycle.isSuperseded()) {
                claims.cancel();
                claims.release();
            }
        }

        @Override
        public void retire() {
            lifecycle.superseded(loop.now());
            claims.cancel();
            scheduler.setMaxWorkerConnections(
                    Math.max(MIN_SHARED_DESCRIPTORS, scheduler.workerConnections()));
            followLifecycle();
        }

        @Override
        public void closeListener(boolean claimed) {
            draining.successorListens(claimed, handshakeTimeout());
            followLifecycle();
        }

        @Override
        public void resumeServing() {
            lifecycle.successorGone();
            shareDescriptors(0);
            try {
                bind();
                clients.open();
                // A process that is shutting down cannot know that no other one listens beside it.
                if (!handover.hasPredecessor() && !lifecycle.isShuttingDown()) {
                    claims.release();
                }
            } catch (IOException e) {
                LOG.atError().addKeyValue("why", e.getMessage()).log("listen.failed");
            }
            followLifecycle();
        }

        @Override
        public void setPeerDescriptors(int descriptors) {
            shareDescriptors(descriptors);
        }

        @Override
        public int descriptorCount() {
            return OWN_DESCRIPTORS + clients.connections() + scheduler.workerConnections();
        }

        @Override
        public List<String> suspendedWorkers() {
            return List.copyOf(scheduler.suspended());
        }

        @Override
        public boolean isDrained() {
            return lifecycle.isDrained();
        }

        @Override
        public void applyCommand(String call, String worker) {
            LOG.atInfo()
                    .addKeyValue("call", call)
                    .addKeyValue("worker", worker)
                    .log("handover.notification");
            switch (call) {
                case "suspend", "resume" -> scheduler.suspend(worker, call.equals("suspend"));
                case "drain", "activate" -> setDrained(call.equals("drain"));
                default ->
                        LOG.atWarn().addKeyValue("call", call).log("handover.notification_unknown");
            }
        }

        @Override
        public boolean handleCallBack(byte[] callBack) throws BadMessage {
            return clients.callBack(callBack);
        }

        @Override
        public void fail(String why) {
            LOG.atError().addKeyValue("why", why).log("start.failed");
            exitCode = 1;
            exitLatch.countDown();
        }
    }

    /** Divides the descriptors that another process does not hold between clients and workers. */
    private void shareDescriptors(int heldByOther) {
        int available =
                Math.max(MIN_SHARED_DESCRIPTORS, node.sockets - RESERVED_DESCRIPTORS - heldByOther);
        int workerConnections = available / WORKER_DIVISOR;
        scheduler.setMaxWorkerConnections(workerConnections);
        clients.most(available - workerConnections);
    }

    /** The effects of operators' calls on this process. */
    private final class OperatorCalls implements ManagementEndpoint.Operations {
        @Override
        public boolean takesClients() {
            return lifecycle.acceptsClients() && (handover == null || handover.isSettled());
        }

        @Override
        public void suspend(String worker, boolean suspended, ManagementEndpoint.Reply reply) {
            boolean known = lifecycle.hasStarted() && scheduler.suspend(worker, suspended);
            if (!lifecycle.hasStarted()) {
                reply.answer(ManagementEndpoint.Answer.NO);
            } else if (!known) {
                reply.answer(ManagementEndpoint.Answer.UNKNOWN);
            } else {
                propagate(suspended ? "suspend" : "resume", worker, reply);
            }
        }

        @Override
        public void drain(boolean drained, ManagementEndpoint.Reply reply) {
            if (!lifecycle.hasStarted()) {
                reply.answer(ManagementEndpoint.Answer.NO);
                return;
            }
            setDrained(drained);
            propagate(drained ? "drain" : "activate", "", reply);
        }

        /** Answers yes once every other process that must know of the call has acknowledged it. */
        private void propagate(String call, String worker, ManagementEndpoint.Reply reply) {
            LOG.atInfo()
                    .addKeyValue("call", call)
                    .addKeyValue("worker", worker)
                    .addKeyValue("in_hand", scheduler.unanswered())
                    .log("operators.call");
            if (handover == null) {
                reply.answer(ManagementEndpoint.Answer.YES);
            } else {
                handover.propagate(
                        call,
                        worker,
                        reply.calledFrom(),
                        acknowledged ->
                                reply.answer(
                                        acknowledged
                                                ? ManagementEndpoint.Answer.YES
                                                : ManagementEndpoint.Answer.NO));
            }
        }

        @Override
        public boolean takes(Inbound from, Message request) {
            return handover != null && handover.tryHandle(from, request);
        }
    }
}
