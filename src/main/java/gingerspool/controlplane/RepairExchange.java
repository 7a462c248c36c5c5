package gingerspool.controlplane;

import gingerspool.antientropy.RangeDigests;
import gingerspool.antientropy.ReplicaRepair;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.configuration.InvalidConfigurationException;
import gingerspool.consensus.Member;
import gingerspool.consensus.Replica;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges the messages with which the members compare and repair their copies of the state: the
 * leader requests the digests of every copy, then sends the majority's content to members that
 * differ, or requests it if its own copy differs. {@link ReplicaRepair} decides what to repair.
 * Used by {@link ClusterMember} and {@link ControlNode} on the event loop.
 */
final class RepairExchange {
    private static final Logger LOG = LoggerFactory.getLogger(RepairExchange.class);

    /** Timeout for the members' digests, in heartbeat intervals. */
    private static final double DIGEST_TIMEOUT_HEARTBEATS = 0.5;

    private final EventLoop loop;
    private final double digestTimeout;
    private final String ownIp;
    private final ConfigurationState state;
    private final Replica replica;
    private final BiConsumer<String, Object> send;
    private final Runnable onRepaired;
    private final ReplicaRepair repair =
            new ReplicaRepair(
                    new ReplicaRepair.Exchange() {
                        @Override
                        public void requestDigests(String member, long comparison) {
                            send.accept(member, new Messages.DigestRequest(ownIp, comparison));
                        }

                        @Override
                        public void requestItems(String member, long index, int ranges) {
                            send.accept(member, new Messages.RangeRequest(ownIp, index, ranges));
                        }

                        @Override
                        public void sendItems(String member, long index, int ranges) {
                            sendRanges(member, index, ranges);
                        }
                    });

    RepairExchange(
            EventLoop loop,
            NodeSettings settings,
            ConfigurationState state,
            Replica replica,
            BiConsumer<String, Object> send,
            Runnable onRepaired) {
        this.loop = loop;
        digestTimeout = DIGEST_TIMEOUT_HEARTBEATS * settings.heartbeatInterval;
        ownIp = settings.ip;
        this.state = state;
        this.replica = replica;
        this.send = send;
        this.onRepaired = onRepaired;
    }

    int differingRanges() {
        return repair.differingRanges();
    }

    int undecidedRanges() {
        return repair.undecidedRanges();
    }

    /**
     * Begins a comparison of all copies if this member leads. It ends with the last digest or the
     * timeout.
     */
    void compare() {
        if (!replica.isActiveLeader(loop.now())) {
            return;
        }
        long comparison = repair.begin(ownIp, replica.members().stream().map(Member::ip).toList());
        loop.schedule(
                digestTimeout,
                () -> {
                    if (repair.isUnderWay(comparison)) {
                        finishComparison();
                    }
                });
    }

    private void finishComparison() {
        if (replica.isActiveLeader(loop.now())) {
            repair.end(replica.appliedIndex(), RangeDigests.digests(state.items()));
        }
    }

    void received(Messages.DigestRequest message) {
        if (isLeader(message.ip()) && !replica.isLearner()) {
            send.accept(
                    message.ip(),
                    new Messages.ReplicaDigest(
                            ownIp,
                            message.comparison(),
                            replica.appliedIndex(),
                            RangeDigests.digests(state.items())));
        }
    }

    private boolean isLeader(String member) {
        Member leader = replica.leader(loop.now());
        return leader != null && leader.ip().equals(member);
    }

    private void sendRanges(String member, long index, int ranges) {
        send.accept(
                member,
                new Messages.RangeRepair(
                        ownIp, index, ranges, RangeDigests.items(state.items(), ranges)));
    }

    void received(Messages.ReplicaDigest message) {
        if (repair.recordDigests(
                message.ip(), message.comparison(), message.index(), message.ranges())) {
            finishComparison();
        }
    }

    void received(Messages.RangeRequest message) {
        if (message.index() == replica.appliedIndex()) {
            sendRanges(message.ip(), message.index(), message.ranges());
        }
    }

    /**
     * Replaces ranges of our copy that differ from the majority's by the items that a member sent.
     * Only answers to our own request and items of the leader are accepted, and only at the same
     * log index.
     */
    void received(Messages.RangeRepair message) {
        boolean isExpected = repair.consumeItemRequest(message.ip()) || isLeader(message.ip());
        if (message.index() != replica.appliedIndex() || !isExpected) {
            return;
        }
        try {
            state.repair(
                    RangeDigests.withRangesReplaced(
                            state.items(), message.ranges(), message.items()));
            replica.compact(loop.now());
            LOG.warn(
                    "state.repaired from={} index={} version={}",
                    message.ip(),
                    message.index(),
                    state.version());
            onRepaired.run();
        } catch (InvalidConfigurationException e) {
            LOG.warn("state.repair_refused from={} why=\"{}\"", message.ip(), e.getMessage());
        }
    }
}
