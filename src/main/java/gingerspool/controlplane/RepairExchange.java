package gingerspool.controlplane;

import gingerspool.antientropy.RangeDigests;
import gingerspool.antientropy.ReplicaRepair;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.configuration.InvalidConfigurationException;
import gingerspool.consensus.Member;
import gingerspool.consensus.Replica;
import gingerspool.wire.EventLoop;
import java.util.List;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Compares the members' copies of the state and repairs what differs: each tells the leader the
 * digests of its copy, the leader sends what most hold, or asks for it.
 */
final class RepairExchange {
    private static final Logger LOG = LogManager.getLogger(RepairExchange.class);

    private final EventLoop loop;
    private final String ip;
    private final ConfigurationState state;
    private final Replica replica;
    private final BiConsumer<String, Object> send;
    private final Runnable whenRepaired;
    private final ReplicaRepair repair =
            new ReplicaRepair(
                    new ReplicaRepair.Exchange() {
                        @Override
                        public void ask(String member, long index, int ranges) {
                            askedFrom = member;
                            send.accept(member, new Messages.RangeRequest(ip, index, ranges));
                        }

                        @Override
                        public void send(String member, long index, int ranges) {
                            sendRanges(member, index, ranges);
                        }
                    });

    /** The member whose items we asked for, as most hold what it does. */
    private String askedFrom = "";

    RepairExchange(
            EventLoop loop,
            String ip,
            ConfigurationState state,
            Replica replica,
            BiConsumer<String, Object> send,
            Runnable whenRepaired) {
        this.loop = loop;
        this.ip = ip;
        this.state = state;
        this.replica = replica;
        this.send = send;
        this.whenRepaired = whenRepaired;
    }

    int differing() {
        return repair.differing();
    }

    int undecided() {
        return repair.undecided();
    }

    /** Tells the leader what our copy of the state comes to; the leader compares all copies. */
    void compare() {
        Member leader = replica.leader(loop.now());
        List<Long> own = RangeDigests.digests(state.items());
        if (replica.isActiveLeader(loop.now())) {
            repair.compare(
                    ip,
                    replica.members().stream().map(Member::ip).toList(),
                    replica.appliedIndex(),
                    own);
        } else if (leader != null && !replica.isLearner()) {
            send.accept(leader.ip(), new Messages.ReplicaDigest(ip, replica.appliedIndex(), own));
        }
    }

    private void sendRanges(String member, long index, int ranges) {
        send.accept(
                member,
                new Messages.RangeRepair(
                        ip, index, ranges, RangeDigests.items(state.items(), ranges)));
    }

    void received(Messages.ReplicaDigest message) {
        repair.received(message.ip(), message.index(), message.ranges());
    }

    void received(Messages.RangeRequest message) {
        if (message.index() == replica.appliedIndex()) {
            sendRanges(message.ip(), message.index(), message.ranges());
        }
    }

    /** A member says that it has these items where we have others: most hold them. */
    void received(Messages.RangeRepair message) {
        Member leader = replica.leader(loop.now());
        boolean isAsked = message.ip().equals(askedFrom);
        askedFrom = "";
        boolean isFromLeader = leader != null && leader.ip().equals(message.ip());
        if (message.index() != replica.appliedIndex() || !isAsked && !isFromLeader) {
            return;
        }
        try {
            state.repair(RangeDigests.replaced(state.items(), message.ranges(), message.items()));
            replica.compact(loop.now());
            LOG.warn(
                    "state.repaired from={} index={} version={}",
                    message.ip(),
                    message.index(),
                    state.version());
            whenRepaired.run();
        } catch (InvalidConfigurationException e) {
            LOG.warn("state.repair_refused from={} why=\"{}\"", message.ip(), e.getMessage());
        }
    }
}
