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
 * One scheduler process: joins the listeners for clients and readiness, the links to the core, and
 * the router of requests. Everything happens on one loop. Decides nothing itself.
 */
public final class SchedulerNode implements Listener.Owner, RequestRouter.ControlPlane {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulerNode.class);

    /** Descriptors that clients, and connections to instances, may hold, in parts of all. */
    private static final double CLIENT_SHARE = 0.6;

    private static final double INSTANCE_SHARE = 0.25;

    /** Connecting to an instance may take this part of a heartbeat interval. */
    private static final double CONNECT_TIMEOUT = 0.25;

    /** Idle connections to instances are kept so long at the most, in milliseconds. */
    private static final double POOL_IDLE_TIMEOUT = 10_000;

    /** After SIGTERM clients come for so many heartbeat intervals more. */
    private static final double STILL_COMING = 2;

    /** The process ends within this part of the grace period, whatever is in hand. */
    private static final double LAST_PART_OF_GRACE = 0.9;

    /** What is in hand by then is given up, so that its answer is written before the end. */
    private static final double GIVE_UP_PART_OF_GRACE = 0.85;

    /** Looks at whether all has ended, in parts of a heartbeat interval. */
    private static final double LEAVE_CHECK = 0.02;

    private static final double SUMMARY_INTERVAL = 10_000;

    /** How often the core is told the digest of our copy, in heartbeat intervals. */
    private static final double COMPARE_INTERVAL = 4;

    private final NodeSettings settings;
    private final SingleThreadEventLoop loop;
    private final Listener listener;
    private final ReadinessEndpoint readiness;
    private final ControlLinks core;
    private final RequestRouter router;
    private final int clientsMost;

    private final ConfigurationSubscriber configuration;

    /** Grants that have come from this leader. */
    private long grants;

    private double leavingAt = Double.NaN;
    private Runnable whenLeft;

    /** Binds the endpoints; an exception says that one of the addresses can't be listened on. */
    public SchedulerNode(NodeSettings settings) throws IOException {
        this.settings = settings;
        loop = new SingleThreadEventLoop();
        ConnectionPool pool =
                new ConnectionPool(
                        loop,
                        CONNECT_TIMEOUT * settings.heartbeatInterval,
                        POOL_IDLE_TIMEOUT,
                        (int) (INSTANCE_SHARE * settings.descriptors));
        clientsMost = (int) (CLIENT_SHARE * settings.descriptors);
        core = new ControlLinks(loop, settings, this::registration, this::receive);
        readiness = new ReadinessEndpoint(loop, settings.readinessAddress, this::isReady);
        listener = new Listener(loop, settings.frontAddress, this);
        router = new RequestRouter(loop, settings, pool, this, listener::acceptOn);
        configuration = new ConfigurationSubscriber(new PushListener());
    }

    /** Begins to look for the leader; clients are answered 503 until a configuration has come. */
    public void begin() {
        loop.submit(
                () -> {
                    core.begin();
                    readiness.begin();
                    listener.acceptOn();
                    acknowledgeAgain();
                    summary();
                });
    }

    private boolean isReady() {
        return router.isConfigured() && Double.isNaN(leavingAt);
    }

    private void summary() {
        RequestRouter.Counts counts = router.counts();
        LOG.info(
                "summary version={} led={} clients={} in_flight={} taken={} served={} refused={} failed={}"
                        + " full={}",
                configuration.configuration().getVersion(),
                core.isLed(),
                router.connections(),
                router.inFlight(),
                counts.taken(),
                counts.served(),
                counts.refused(),
                counts.failed(),
                counts.overfull());
        loop.schedule(SUMMARY_INTERVAL, this::summary);
    }

    // ---- Leaving, settings ----

    /** Takes no new clients, answers all that it has, then runs this. */
    public void stop(Runnable then) {
        loop.submit(
                () -> {
                    LOG.info("leave in_flight={}", router.inFlight());
                    leavingAt = loop.now();
                    whenLeft = then;
                    router.leave();
                    leave();
                });
    }

    /** Gives back all that the process's end would, where the process goes on. */
    public void close() {
        loop.stop();
    }

    private void leave() {
        double elapsed = loop.now() - leavingAt;
        double stillComing = STILL_COMING * settings.heartbeatInterval;
        boolean quiet = elapsed > stillComing;
        if (quiet) {
            router.closeIdle(stillComing);
        }
        boolean allEnded = router.inFlight() == 0 && router.connections() == 0;
        if (elapsed > GIVE_UP_PART_OF_GRACE * settings.gracePeriod) {
            router.giveUpAll();
        }
        boolean isLate = elapsed > LAST_PART_OF_GRACE * settings.gracePeriod;
        if (quiet && allEnded || isLate) {
            listener.close();
        }
        // A client whose accept was under way at the close is seen one look later.
        if (quiet && allEnded && !listener.mayAccept() || isLate) {
            whenLeft.run();
        } else {
            loop.schedule(LEAVE_CHECK * settings.heartbeatInterval, this::leave);
        }
    }

    /** The settings file has changed. */
    public void settings(NodeSettings now) {
        loop.submit(() -> core.seeds(now.seeds));
    }

    // ---- Clients ----

    @Override
    public boolean hasRoom() {
        return router.connections() < clientsMost;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        accepted(channel, loop.now());
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel, double letInFrom) {
        router.accept(channel, letInFrom);
    }

    // ---- The core ----

    private Messages.Register registration() {
        return new Messages.Register(
                settings.name,
                settings.zone,
                configuration.configuration().getVersion(),
                router.heldSlots());
    }

    @Override
    public boolean tell(Object message) {
        return core.tellLeader(message);
    }

    @Override
    public double leaderlessFor() {
        return core.leaderlessFor();
    }

    private void receive(Object message) {
        if (message instanceof Messages.Registered) {
            grants = 0;
            router.queues().forEach(FunctionQueue::registered);
        } else if (message instanceof Messages.SchedulerCount count) {
            router.schedulers(count.count());
        } else if (message instanceof Messages.ConfigurationPush push) {
            configuration.receive(push);
        } else if (message instanceof Messages.ConfigurationDeltaPush push) {
            configuration.receive(push);
        } else if (message instanceof Messages.SlotGrant grant) {
            granted(grant);
        } else if (message instanceof Messages.SlotRecall recall) {
            FunctionQueue queue = router.queue(recall.function());
            if (queue != null) {
                queue.recalled(recall.slots());
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
        public void tellLeader(Object message) {
            core.tellLeader(message);
        }
    }

    private void granted(Messages.SlotGrant grant) {
        grants++;
        FunctionQueue queue = router.queue(grant.function());
        if (queue != null) {
            queue.granted(grant);
        } else {
            core.tellLeader(
                    new Messages.SlotReturn(
                            grant.instance(), grant.slots(), Messages.InstanceCondition.HEALTHY));
        }
    }

    private void acknowledgeAgain() {
        configuration.report();
        core.tellLeader(new Messages.SlotHoldings(grants, router.heldSlots()));
        loop.schedule(COMPARE_INTERVAL * settings.heartbeatInterval, this::acknowledgeAgain);
    }
}
