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
 * A control node as a member of the core, from the moment that its disk was read: the replica with
 * what it sends, writes and applies, the leader's duties while it leads, and the comparison of
 * copies. All calls come on the loop. Owns the replica; the configuration's state is the node's.
 */
final class ClusterMember implements ReplicaEnvironment {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterMember.class);

    /** The leader's lease, in heartbeat intervals. */
    private static final double LEASE_HEARTBEATS = 0.5;

    /** When a call of the platform has failed without an answer, in heartbeat intervals. */
    private static final double PLATFORM_TIMEOUT_HEARTBEATS = 0.8;

    /** The shortest pause between two ticks of the replica, in milliseconds. */
    private static final double MIN_TICK_INTERVAL_MS = 1;

    /** What a member needs of the node round it. */
    interface Node {
        EventLoop loop();

        NodeSettings settings();

        ConfigurationState configurationState();

        KryoCodec codec();

        PeerLinks peerLinks();

        SchedulerRegistry schedulerRegistry();

        OperatorCalls operatorCalls();

        /** Hands a write to the log's thread. */
        void save(LogWrite write);

        /** Sends to all processes that opened a link here. */
        void sendToAll(Object message);

        /** The configuration has changed. */
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

    /** The seeds may be changed by the node; the replica sees it. */
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

    /** Only an empty disk may be that of a first start; one that can't be read has lost votes. */
    private Replica createReplica(RecoveredLog recovered, List<String> seeds) {
        boolean isFirstStart = recovered.isEmpty() && settings.firstStart;
        List<Member> founders =
                isFirstStart
                        ? seeds.stream().map(seed -> new Member(seed, Member.FOUNDER)).toList()
                        : List.of();
        // Never the same twice, whatever was on a disk before: so not from a seed.
        String id = isFirstStart ? Member.FOUNDER : UUID.randomUUID().toString();
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

    /** Takes part from now on. */
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

    /** The duties of the leader, where this member leads. */
    Optional<LeaderDuties> duties() {
        return Optional.ofNullable(leadership.duties());
    }

    boolean isLeading() {
        return replica.isActiveLeader(loop.now());
    }

    /** This process is about to end; see Replica.leave. */
    void leave() {
        replica.leave(loop.now());
        afterReplicaUpdate();
    }

    boolean mayStop() {
        return replica.mayStop(loop.now());
    }

    /** Looks after the links to the peers; true where the settings file should be read anew. */
    boolean maintainPeers() {
        boolean isLeaderless = leaderWatch.isDue(replica.leader(loop.now()) != null, loop.now());
        node.peerLinks().maintain(replica.contacts());
        return isLeaderless;
    }

    // ---- Time ----

    /** What follows from whatever the replica was just told. */
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

    /** Schedulers that hear only this member are told that it leads no more. */
    private void endDuties() {
        node.schedulerRegistry().stopLeading();
        announceLeader();
    }

    /** Tells all who opened a link here who leads, as far as is known. */
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

    /** A message of another member's replica, for this one or an earlier one on this machine. */
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

    /** A scheduler asks to be registered: the leader does, others say who leads. */
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
                    "a command that was committed can't be read: " + e.getMessage(), e);
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

    /** The lines of the status page that tell of this member and the core. */
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

    /** One line of counters, and one of the leader's. */
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
