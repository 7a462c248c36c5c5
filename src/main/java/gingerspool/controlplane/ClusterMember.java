package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.Replica;
import gingerspool.consensus.ReplicaEnvironment;
import gingerspool.consensus.ReplicaSettings;
import gingerspool.settings.NodeSettings;
import gingerspool.storage.RecoveredLog;
import gingerspool.wire.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A control node as a member of the control cluster, once its log has been read: runs the replica
 * and carries out what it sends, persists and applies, runs the leader's duties while this member
 * leads, and the comparison of the members' state. Created by {@link ControlNode}, which calls it
 * on the event loop. Owns the replica; the configuration state belongs to the node.
 */
final class ClusterMember implements ReplicaEnvironment {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterMember.class);

    /** The leader's lease, in heartbeat intervals. */
    private static final double LEASE_HEARTBEATS = 0.5;

    /** Timeout of a call to the platform, in heartbeat intervals. */
    private static final double PLATFORM_TIMEOUT_HEARTBEATS = 0.8;

    /** Shortest interval between two ticks of the replica. */
    private static final double MIN_TICK_INTERVAL_MS = 1;

    /** What the member uses of its control node. */
    interface Node {
        EventLoop loop();

        NodeSettings settings();

        ConfigurationState configurationState();

        KryoCodec codec();

        PeerLinks peerLinks();

        SchedulerRegistry schedulerRegistry();

        OperatorCalls operatorCalls();

        /** Passes a write to the log's thread. */
        void save(LogWrite write);

        /** Sends a message on every link that another process opened to this node. */
        void sendToAll(Object message);

        /** Called after a new configuration was applied or restored. */
        void onConfigurationChanged();
    }

    private final Node node;
    private final EventLoop loop;
    private final NodeSettings settings;
    private final Replica replica;
    private final RepairExchange repair;
    private final Leadership leadership;
    private final LeaderWatch leaderWatch;
    private double nextTickAt = Double.POSITIVE_INFINITY;

    /**
     * The list of seeds is shared: the node may change it later, and the replica reads the current
     * content.
     */
    ClusterMember(Node node, RecoveredLog recovered, List<String> seeds) {
        this.node = node;
        loop = node.loop();
        settings = node.settings();
        replica = createReplica(recovered, seeds);
        BiConsumer<String, Object> sendToPeer = node.peerLinks()::send;
        repair =
                new RepairExchange(
                        loop,
                        settings,
                        node.configurationState(),
                        replica,
                        sendToPeer,
                        node::onConfigurationChanged);
        leaderWatch = new LeaderWatch(settings.heartbeatInterval, loop.now());
        leadership = new Leadership(replica, this::beginDuties, this::endDuties);
    }

    /**
     * Founds a new cluster only if the log is empty: a log that cannot be read may have held votes,
     * and a member that votes twice in a term can elect two leaders.
     */
    private Replica createReplica(RecoveredLog recovered, List<String> seeds) {
        boolean isFirstStart = recovered.isEmpty() && settings.firstStart;
        List<Member> founders =
                isFirstStart
                        ? seeds.stream().map(seed -> new Member(seed, Member.FOUNDER_ID)).toList()
                        : List.of();
        // A random id, so that a member that lost its log never reuses an earlier identity.
        String id = isFirstStart ? Member.FOUNDER_ID : UUID.randomUUID().toString();
        return new Replica(
                new Member(settings.ip, id),
                recovered.state(),
                founders,
                new ReplicaSettings(
                        settings.toleratedLosses,
                        LEASE_HEARTBEATS * settings.heartbeatInterval,
                        seeds,
                        settings.name.hashCode()),
                loop.now(),
                this);
    }

    /** Starts taking part in the cluster. */
    void start() {
        LOG.info(
                "start member={} members={} term={} version={}",
                replica.self(),
                replica.members(),
                replica.term(),
                node.configurationState().version());
        afterReplicaUpdate();
    }

    Replica replica() {
        return replica;
    }

    RepairExchange repair() {
        return repair;
    }

    /** The leader's duties, if this member leads. */
    Optional<LeaderDuties> duties() {
        return Optional.ofNullable(leadership.duties());
    }

    boolean isLeading() {
        return replica.isActiveLeader(loop.now());
    }

    /** Starts leaving the cluster, as this process is about to stop; see {@link Replica#leave}. */
    void leave() {
        replica.leave(loop.now());
        afterReplicaUpdate();
    }

    boolean mayStop() {
        return replica.mayStop(loop.now());
    }

    /**
     * Maintains the links to the peers. Returns whether the settings file should be read again, as
     * no leader has been known for long.
     */
    boolean maintainPeers() {
        boolean isLeaderless =
                leaderWatch.isReloadDue(replica.leader(loop.now()) != null, loop.now());
        node.peerLinks().maintain(replica.contacts());
        return isLeaderless;
    }

    // ---- Time ----

    /**
     * Starts or ends the leader's duties and schedules the next tick. Must follow every call that
     * may change the replica's state.
     */
    void afterReplicaUpdate() {
        leadership.update(loop.now());
        scheduleTick();
    }

    private void scheduleTick() {
        double tickAt = Math.max(replica.nextTick(), loop.now() + MIN_TICK_INTERVAL_MS);
        if (tickAt < nextTickAt) {
            nextTickAt = tickAt;
            loop.schedule(tickAt - loop.now(), this::tick);
        }
    }

    private void tick() {
        nextTickAt = Double.POSITIVE_INFINITY;
        replica.tick(loop.now());
        afterReplicaUpdate();
    }

    // ---- Leading ----

    private LeaderDuties beginDuties(long term) {
        Platform platform =
                new PlatformClient(
                        loop,
                        settings.platformAddress,
                        PLATFORM_TIMEOUT_HEARTBEATS * settings.heartbeatInterval);
        LeaderDuties duties =
                new LeaderDuties(
                        loop,
                        settings,
                        platform,
                        term,
                        this::isLeading,
                        node.schedulerRegistry()::send,
                        node.schedulerRegistry()::sendToAll);
        duties.onConfigurationChanged(node.configurationState().configuration());
        node.schedulerRegistry().startLeading(duties);
        announceLeader();
        return duties;
    }

    /**
     * Announces that this member no longer leads, also to schedulers that are connected to no
     * other.
     */
    private void endDuties() {
        node.schedulerRegistry().stopLeading();
        announceLeader();
    }

    /** Sends the leader that this member knows of to every process that opened a link to it. */
    void announceLeader() {
        node.sendToAll(announcement());
    }

    Messages.LeaderAnnouncement announcement() {
        Member leader = replica.leader(loop.now());
        return new Messages.LeaderAnnouncement(
                replica.term(),
                leader == null ? "" : leader.ip(),
                replica.members().stream().map(Member::ip).toList());
    }

    // ---- Messages ----

    /**
     * Handles a message of another member's replica. It may be addressed to an earlier member of
     * this machine, in which case only the sender is noted.
     */
    void receive(ConsensusMessage.Envelope envelope) {
        PeerLinks peers = node.peerLinks();
        peers.onMemberMessage(envelope.from().ip());
        if (envelope.isFor(replica.self())) {
            peers.connectBack(envelope.from().ip());
            replica.receive(loop.now(), envelope.from(), envelope.message());
            afterReplicaUpdate();
        } else {
            replica.noteSender(envelope.from());
        }
    }

    /** Registers a scheduler if this member leads; otherwise replies with the known leader. */
    void register(InternalEndpoint.Link link, Messages.Register message) {
        if (leadership.duties() != null && isLeading()) {
            node.schedulerRegistry().register(link, message, replica.term());
        } else {
            link.send(announcement());
        }
    }

    // ---- The replica's environment ----

    @Override
    public void send(Member to, ConsensusMessage message) {
        node.peerLinks().send(to.ip(), new ConsensusMessage.Envelope(replica.self(), to, message));
    }

    @Override
    public void persist(LogWrite write) {
        node.save(write);
    }

    void persisted(long ticket) {
        replica.persisted(loop.now(), ticket);
        afterReplicaUpdate();
    }

    @Override
    public void apply(long index, byte[] command) {
        ConfigurationState state = node.configurationState();
        try {
            Messages.ChangeCommand change = (Messages.ChangeCommand) node.codec().read(command);
            long previousVersion = state.version();
            ConfigurationState.ChangeResult result =
                    state.apply(change.whole(), change.on(), change.body());
            if (state.version() != previousVersion) {
                LOG.info("config.committed version={} index={}", state.version(), index);
                node.onConfigurationChanged();
            }
            node.operatorCalls().applied(change.id(), result);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(
                    "cannot decode a committed command: " + e.getMessage(), e);
        }
    }

    @Override
    public void restore(long index, byte[] state) {
        node.configurationState().restore(state);
        node.onConfigurationChanged();
    }

    @Override
    public byte[] snapshotState() {
        return node.configurationState().snapshot();
    }

    // ---- For operators ----

    /** The lines of the status page about this member and the cluster. */
    List<String> status() {
        List<String> lines = new ArrayList<>();
        Member leader = replica.leader(loop.now());
        long version = node.configurationState().version();
        lines.add("member " + replica.self() + " term " + replica.term() + " leader " + leader);
        lines.add("members " + replica.members());
        lines.add("version " + version + " applied " + replica.appliedIndex());
        lines.addAll(node.schedulerRegistry().status());
        duties().ifPresent(duties -> lines.addAll(duties.allocator.status()));
        return lines;
    }

    /** Logs the counters of this member, and those of the leader's duties if it leads. */
    void logSummary(boolean diskIsFailing) {
        LOG.info(
                "summary member={} term={} leads={} applied={} version={} schedulers={} {}"
                        + " disk_failing={} ranges_differed={} undecided={}",
                replica.self(),
                replica.term(),
                isLeading(),
                replica.appliedIndex(),
                node.configurationState().version(),
                node.schedulerRegistry().size(),
                node.operatorCalls().counters(),
                diskIsFailing,
                repair.differingRanges(),
                repair.undecidedRanges());
        duties().ifPresent(LeaderDuties::logSummary);
    }
}
