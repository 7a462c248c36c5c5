package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.settings.NodeSettings;
import gingerspool.store.ConnectionPool;
import gingerspool.wire.Listener;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.nio.channels.AsynchronousSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A scheduler process. Connects the listeners for clients and readiness checks, the links to the
 * control nodes, and the {@link RequestRouter}, and contains no policy of its own. Everything runs
 * on one event loop; the methods that start, stop and reconfigure the process are called on other
 * threads.
 */
public final class SchedulerNode implements Listener.Owner, RequestRouter.ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulerNode.class);

    /**
     * The fractions of the process's file descriptors that client connections and connections to
     * instances may use.
     */
    private static final double CLIENT_DESCRIPTOR_FRACTION = 0.6;

    private static final double INSTANCE_DESCRIPTOR_FRACTION = 0.25;

    /** The time-out for connecting to an instance, in heartbeat intervals. */
    private static final double CONNECT_TIMEOUT_HEARTBEATS = 0.25;

    /** How long idle connections to instances are kept, in milliseconds. */
    private static final double POOL_IDLE_TIMEOUT_MS = 10_000;

    /** How long new clients are still expected after SIGTERM, in heartbeat intervals. */
    private static final double LATE_CLIENT_HEARTBEATS = 2;

    /** The process exits after this fraction of the grace period, even with requests in flight. */
    private static final double EXIT_GRACE_FRACTION = 0.9;

    /**
     * Requests still in flight after this fraction of the grace period are aborted, early enough
     * for their responses to be written before the exit.
     */
    private static final double ABORT_GRACE_FRACTION = 0.85;

    /** The interval between checks for the end of draining, in heartbeat intervals. */
    private static final double DRAIN_CHECK_HEARTBEATS = 0.02;

    private static final double SUMMARY_INTERVAL_MS = 10_000;

    /**
     * The interval between reports of the configuration checksum and the held slots to the leader,
     * in heartbeat intervals.
     */
    private static final double STATE_REPORT_HEARTBEATS = 4;

    private final NodeSettings settings;
    private final SingleThreadEventLoop loop;
    private final Listener listener;
    private final ReadinessEndpoint readiness;
    private final ControlLinks controlLinks;
    private final RequestRouter router;
    private final int maxClients;

    private final ConfigurationSubscriber configuration;

    /** Grants received from the current leader. */
    private long grantsReceived;

    /** When draining began, in milliseconds on the loop's clock; NaN before that. */
    private double drainingSince = Double.NaN;

    private Runnable onDrained;

    /** Binds the endpoints; throws if one of the addresses can't be bound. */
    public SchedulerNode(NodeSettings settings) throws IOException {
        this.settings = settings;
        loop = new SingleThreadEventLoop();
        ConnectionPool pool =
                new ConnectionPool(
                        loop,
                        CONNECT_TIMEOUT_HEARTBEATS * settings.heartbeatInterval,
                        POOL_IDLE_TIMEOUT_MS,
                        (int) (INSTANCE_DESCRIPTOR_FRACTION * settings.maxFileDescriptors));
        maxClients = (int) (CLIENT_DESCRIPTOR_FRACTION * settings.maxFileDescriptors);
        controlLinks = new ControlLinks(loop, settings, this::registration, this::onMessage);
        readiness = new ReadinessEndpoint(loop, settings.readinessAddress, this::isReady);
        listener = new Listener(loop, settings.frontAddress, this);
        router = new RequestRouter(loop, settings, pool, this, listener::acceptOn);
        configuration = new ConfigurationSubscriber(new PushListener());
    }

    /**
     * Starts looking for the leader and accepting clients, who get 503 until the first
     * configuration.
     */
    public void start() {
        loop.submit(
                () -> {
                    controlLinks.start();
                    readiness.start();
                    listener.acceptOn();
                    reportState();
                    logSummary();
                });
    }

    private boolean isReady() {
        return router.isConfigured() && Double.isNaN(drainingSince);
    }

    private void logSummary() {
        RequestRouter.Counts counts = router.counts();
        LOG.info(
                "summary version={} led={} clients={} in_flight={} taken={} served={} refused={} failed={}"
                        + " full={}",
                configuration.configuration().getVersion(),
                controlLinks.hasLeader(),
                router.connections(),
                router.inFlight(),
                counts.taken(),
                counts.served(),
                counts.refused(),
                counts.failed(),
                counts.instanceRejections());
        loop.schedule(SUMMARY_INTERVAL_MS, this::logSummary);
    }

    // ---- Shutdown, settings ----

    /**
     * Drains: fails the readiness check, serves clients until they are done or the grace period is
     * nearly over, then runs the callback on the event loop.
     */
    public void stop(Runnable onStopped) {
        loop.submit(
                () -> {
                    LOG.info("leave in_flight={}", router.inFlight());
                    drainingSince = loop.now();
                    onDrained = onStopped;
                    router.startDraining();
                    checkDrained();
                });
    }

    /** Stops the event loop and releases its resources, for callers that don't exit the process. */
    public void close() {
        loop.stop();
    }

    private void checkDrained() {
        double elapsed = loop.now() - drainingSince;
        double lateClientTime = LATE_CLIENT_HEARTBEATS * settings.heartbeatInterval;
        boolean isPastLateClients = elapsed > lateClientTime;
        if (isPastLateClients) {
            router.closeIdle(lateClientTime);
        }
        boolean allEnded = router.inFlight() == 0 && router.connections() == 0;
        if (elapsed > ABORT_GRACE_FRACTION * settings.gracePeriod) {
            router.abortAll();
        }
        boolean mustExit = elapsed > EXIT_GRACE_FRACTION * settings.gracePeriod;
        if (isPastLateClients && allEnded || mustExit) {
            listener.close();
        }
        // A client whose accept was in progress when the listener closed is seen at the next check.
        if (isPastLateClients && allEnded && !listener.mayAccept() || mustExit) {
            onDrained.run();
        } else {
            loop.schedule(DRAIN_CHECK_HEARTBEATS * settings.heartbeatInterval, this::checkDrained);
        }
    }

    /**
     * Applies changed settings; only the addresses of the control nodes take effect without a
     * restart.
     */
    public void applySettings(NodeSettings newSettings) {
        loop.submit(() -> controlLinks.setSeeds(newSettings.seeds));
    }

    // ---- Clients ----

    @Override
    public boolean hasRoom() {
        return router.connections() < maxClients;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        accepted(channel, loop.now());
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel, double earliestArrival) {
        router.accept(channel, earliestArrival);
    }

    // ---- Control plane ----

    private Messages.Register registration() {
        return new Messages.Register(
                settings.name,
                settings.zone,
                configuration.configuration().getVersion(),
                router.heldSlots());
    }

    @Override
    public boolean sendToLeader(Object message) {
        return controlLinks.sendToLeader(message);
    }

    @Override
    public double leaderlessFor() {
        return controlLinks.leaderlessFor();
    }

    private void onMessage(Object message) {
        if (message instanceof Messages.Registered) {
            grantsReceived = 0;
            router.queues().forEach(FunctionQueue::onRegistered);
        } else if (message instanceof Messages.SchedulerCount count) {
            router.setSchedulerCount(count.count());
        } else if (message instanceof Messages.ConfigurationPush push) {
            configuration.receive(push);
        } else if (message instanceof Messages.ConfigurationDeltaPush push) {
            configuration.receive(push);
        } else if (message instanceof Messages.SlotGrant grant) {
            onGrant(grant);
        } else if (message instanceof Messages.SlotRecall recall) {
            FunctionQueue queue = router.queue(recall.function());
            if (queue != null) {
                queue.onRecall(recall.slots());
            }
        } else if (message instanceof Messages.InstanceWithdrawal withdrawal) {
            withdrawal
                    .instances()
                    .forEach(id -> router.queues().stream().anyMatch(queue -> queue.withdraw(id)));
        }
    }

    private final class PushListener implements ConfigurationSubscriber.Listener {
        @Override
        public void onConfiguration(Configuration newest) {
            router.configure(newest);
        }

        @Override
        public void sendToLeader(Object message) {
            controlLinks.sendToLeader(message);
        }
    }

    private void onGrant(Messages.SlotGrant grant) {
        grantsReceived++;
        FunctionQueue queue = router.queue(grant.function());
        if (queue != null) {
            queue.onGrant(grant);
        } else {
            controlLinks.sendToLeader(
                    new Messages.SlotReturn(
                            grant.instance(), grant.slots(), Messages.InstanceCondition.HEALTHY));
        }
    }

    private void reportState() {
        configuration.report();
        controlLinks.sendToLeader(new Messages.SlotHoldings(grantsReceived, router.heldSlots()));
        loop.schedule(STATE_REPORT_HEARTBEATS * settings.heartbeatInterval, this::reportState);
    }
}
