package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Replica;
import gingerspool.settings.NodeSettings;
import gingerspool.storage.DurableLog;
import gingerspool.storage.LogWriter;
import gingerspool.storage.RecoveredLog;
import gingerspool.storage.StorageException;
import gingerspool.wire.EventLoop;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control process: connects the endpoints, the links to peers, the durable log and the cluster
 * member, and runs the shutdown. NodeProgram creates one per process; Platforms runs several in one
 * process.
 *
 * <p>States: recovering until the log has been read, during which operators get status 503; then a
 * member of the control cluster; stopping after SIGTERM. All state belongs to one event loop; only
 * the log writer has a thread of its own. This class forwards events and contains no decisions of
 * the protocol.
 */
public final class ControlNode implements LogWriter.Owner, InternalEndpoint.LinkHandler {
    private static final Logger LOG = LoggerFactory.getLogger(ControlNode.class);

    /** Leader announcements and heartbeats sent per heartbeat interval. */
    private static final double ANNOUNCEMENTS_PER_HEARTBEAT = 2;

    /** The leader compares the members' copies of the state once per this many announcements. */
    private static final int ANNOUNCEMENTS_PER_COMPARISON = 8;

    /** Runs of link maintenance per heartbeat interval. */
    private static final double MAINTENANCE_PER_HEARTBEAT = 8;

    private static final double SUMMARY_INTERVAL_MS = 10_000;

    private final NodeSettings settings;
    final SingleThreadEventLoop loop;
    final ConfigurationState configurationState = new ConfigurationState();
    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
    private final LogWriter logWriter;
    private final OperatorCalls operatorCalls;
    private final OperatorEndpoint operatorEndpoint;
    private final InternalEndpoint internalEndpoint;
    private final PeerLinks peerLinks;
    private final SchedulerRegistry schedulerRegistry;
    private final List<String> seeds;
    private Consumer<StorageException> onStorageUnusable = why -> {};
    private Runnable reloadSettings = () -> {};

    /** Empty while recovering. */
    private Optional<ClusterMember> member = Optional.empty();

    /** Empty until SIGTERM. */
    private Optional<GracefulShutdown> shutdown = Optional.empty();

    private int announcements;

    /** Binds the endpoints. Throws an IOException if one of the addresses cannot be bound. */
    public ControlNode(NodeSettings settings) throws IOException {
        this.settings = settings;
        loop = new SingleThreadEventLoop();
        logWriter =
                new LogWriter(
                        new DurableLog(settings.dataDirectory, settings.diskMb),
                        loop::submit,
                        this);
        operatorCalls =
                new OperatorCalls(
                        loop,
                        settings.controlAddress.getPort(),
                        codec,
                        configurationState,
                        this::replica,
                        this::status);
        operatorEndpoint = new OperatorEndpoint(loop, settings.controlAddress, this::run);
        internalEndpoint = new InternalEndpoint(loop, settings, codec, this);
        peerLinks = new PeerLinks(loop, settings, codec);
        schedulerRegistry = new SchedulerRegistry(loop, settings, configurationState);
        seeds = new ArrayList<>(seedsOf(settings));
    }

    // ---- Start ----

    /**
     * Starts the node, from any thread: operators get status 503 until the log has been read, then
     * the node joins the cluster. The consumer is called on the event loop if this version of the
     * software cannot use the log.
     */
    public void start(Consumer<StorageException> onUnusable) {
        this.onStorageUnusable = onUnusable;
        logWriter.start();
        loop.submit(
                () -> {
                    operatorEndpoint.start();
                    logSummary();
                });
    }

    @Override
    public void unusable(StorageException cause) {
        onStorageUnusable.accept(cause);
    }

    @Override
    public void recovered(RecoveredLog recovered) {
        if (recovered.isLost()) {
            LOG.error(
                    "log.lost why=\"no log file can be read: this node joins the cluster"
                            + " as a new member with a new id\"");
        }
        ClusterMember recoveredMember = new ClusterMember(new MemberNode(), recovered, seeds);
        member = Optional.of(recoveredMember);
        internalEndpoint.start();
        recoveredMember.start();
        maintainLinks(recoveredMember);
        announceRegularly(recoveredMember);
    }

    /** Gives the cluster member access to this process. */
    private final class MemberNode implements ClusterMember.Node {
        @Override
        public EventLoop loop() {
            return loop;
        }

        @Override
        public NodeSettings settings() {
            return settings;
        }

        @Override
        public ConfigurationState configurationState() {
            return configurationState;
        }

        @Override
        public KryoCodec codec() {
            return codec;
        }

        @Override
        public PeerLinks peerLinks() {
            return peerLinks;
        }

        @Override
        public SchedulerRegistry schedulerRegistry() {
            return schedulerRegistry;
        }

        @Override
        public OperatorCalls operatorCalls() {
            return operatorCalls;
        }

        @Override
        public void save(LogWrite write) {
            logWriter.save(write);
        }

        @Override
        public void sendToAll(Object message) {
            internalEndpoint.sendToAll(message);
        }

        @Override
        public void onConfigurationChanged() {
            member.flatMap(ClusterMember::duties)
                    .ifPresent(
                            duties ->
                                    duties.onConfigurationChanged(
                                            configurationState.configuration()));
            schedulerRegistry.onConfigurationChanged();
        }
    }

    /** Whether the log has been read and this process is a member. */
    boolean isRecovered() {
        return member.isPresent();
    }

    boolean isLeading() {
        return member.isPresent() && member.get().isLeading();
    }

    boolean isLearner() {
        return member.isPresent() && member.get().replica().isLearner();
    }

    /** Null while recovering. */
    private Replica replica() {
        return member.map(ClusterMember::replica).orElse(null);
    }

    // ---- Settings ----

    /**
     * Sets the task that runs on the event loop when no leader has been known for several heartbeat
     * intervals; it should read the settings file and call applySettings(). Must be called before
     * start().
     */
    public void onLeaderUnknown(Runnable reload) {
        reloadSettings = reload;
    }

    /**
     * Applies the seed addresses of reloaded settings; all other settings stay as they were. May be
     * called from any thread.
     */
    public void applySettings(NodeSettings reloaded) {
        loop.submit(
                () -> {
                    if (!seeds.equals(seedsOf(reloaded))) {
                        seeds.clear();
                        seeds.addAll(seedsOf(reloaded));
                        LOG.info("settings.reloaded seeds={}", seeds);
                    }
                });
    }

    private static List<String> seedsOf(NodeSettings settings) {
        return settings.seeds.stream().map(a -> a.getAddress().getHostAddress()).toList();
    }

    // ---- Shutdown ----

    /**
     * Handles SIGTERM: transfers leadership, waits until the member may stop, answers pending
     * operator calls, then stops. May be called from any thread; further calls have no effect.
     */
    public void stop(Runnable onStopped) {
        loop.submit(
                () -> {
                    if (shutdown.isEmpty()) {
                        LOG.info("stop.started");
                        ShutdownProcess process = new ShutdownProcess(onStopped);
                        shutdown =
                                Optional.of(
                                        new GracefulShutdown(loop, settings.gracePeriod, process));
                        member.ifPresent(ClusterMember::leave);
                        shutdown.get().start();
                    }
                });
    }

    /** Gives the shutdown sequence access to this node. */
    private final class ShutdownProcess implements GracefulShutdown.Process {
        private final Runnable onStopped;

        ShutdownProcess(Runnable onStopped) {
            this.onStopped = onStopped;
        }

        @Override
        public boolean mayStop() {
            return member.isEmpty() || member.get().mayStop();
        }

        @Override
        public boolean hasPendingCalls() {
            return operatorCalls.hasPendingCalls();
        }

        @Override
        public void closeToOperators() {
            LOG.info("stop.replaced={}", mayStop());
            operatorEndpoint.drain();
        }

        @Override
        public void end() {
            // Leaves time for the last answers to be written to their connections.
            loop.schedule(
                    settings.heartbeatInterval / MAINTENANCE_PER_HEARTBEAT,
                    () -> {
                        logWriter.stop();
                        onStopped.run();
                    });
        }
    }

    /**
     * Stops the log's thread and the event loop, for a process that continues without this node.
     */
    public void close() {
        logWriter.stop();
        loop.stop();
    }

    // ---- Periodic tasks ----

    private void maintainLinks(ClusterMember coreMember) {
        if (coreMember.maintainPeers()) {
            reloadSettings.run();
        }
        internalEndpoint.closeSilentLinks();
        loop.schedule(
                settings.heartbeatInterval / MAINTENANCE_PER_HEARTBEAT,
                () -> maintainLinks(coreMember));
    }

    private void announceRegularly(ClusterMember coreMember) {
        coreMember.announceLeader();
        peerLinks.sendHeartbeats();
        if (++announcements % ANNOUNCEMENTS_PER_COMPARISON == 0) {
            coreMember.repair().compare();
        }
        loop.schedule(
                settings.heartbeatInterval / ANNOUNCEMENTS_PER_HEARTBEAT,
                () -> announceRegularly(coreMember));
    }

    private void logSummary() {
        loop.schedule(SUMMARY_INTERVAL_MS, this::logSummary);
        if (member.isPresent()) {
            member.get().logSummary(logWriter.isFailing());
        } else {
            LOG.info("summary member=none disk_failing={}", logWriter.isFailing());
        }
    }

    // ---- The log ----

    @Override
    public void persisted(long ticket) {
        member.orElseThrow().persisted(ticket);
    }

    @Override
    public LogWrite fullState() {
        return member.orElseThrow().replica().fullState();
    }

    // ---- Operators ----

    private void run(OperatorCall call) {
        operatorCalls.run(call);
        member.ifPresent(ClusterMember::afterReplicaUpdate);
    }

    private String status() {
        return String.join("\n", member.orElseThrow().status()) + "\n";
    }

    // ---- Messages of other processes; the endpoint accepts only once this node is a member ----

    @Override
    public void received(InternalEndpoint.Link link, Object message) {
        ClusterMember receiver = member.orElseThrow();
        if (message instanceof ConsensusMessage.Envelope m) {
            receiver.receive(m);
        } else if (message instanceof Messages.DigestRequest m) {
            receiver.repair().received(m);
        } else if (message instanceof Messages.ReplicaDigest m) {
            receiver.repair().received(m);
        } else if (message instanceof Messages.RangeRequest m) {
            receiver.repair().received(m);
        } else if (message instanceof Messages.RangeRepair m) {
            receiver.repair().received(m);
        } else if (message instanceof Messages.Heartbeat m) {
            if (!peerLinks.onHeartbeat(m.ip())) {
                link.send(receiver.announcement());
            }
        } else if (message instanceof Messages.Register m) {
            receiver.register(link, m);
        } else {
            schedulerRegistry.received(link, message);
        }
    }

    @Override
    public void closed(InternalEndpoint.Link link) {
        schedulerRegistry.closed(link);
    }
}
