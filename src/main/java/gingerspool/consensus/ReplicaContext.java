package gingerspool.consensus;

import java.util.SplittableRandom;

/**
 * The state shared by the components of one replica: settings, log, term, vote and role. Used on
 * the thread that calls {@link Replica}; times are in milliseconds.
 */
final class ReplicaContext {
    /** The role of a replica in its term. */
    enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    /** The number of heartbeats sent per lease. */
    static final double HEARTBEATS_PER_LEASE = 6;

    /** The time without a reply after which a member counts as unresponsive, in leases. */
    static final double UNRESPONSIVE_AFTER_LEASES = 2;

    final ReplicaSettings settings;
    final ReplicaEnvironment environment;
    final SplittableRandom random;
    final Member self;
    final RaftLog log;

    /** The time of the call being handled. */
    double now;

    long term;

    /** The member that this one voted for or followed in its term, or null. */
    Member votedFor;

    Role role = Role.FOLLOWER;

    /** The leader of the term, or null if unknown. */
    Member leader;

    long commitIndex;
    long lastApplied;

    /** Whether the departure of this member has started. */
    boolean leaving;

    ReplicaContext(
            ReplicaSettings settings, ReplicaEnvironment environment, Member self, RaftLog log) {
        this.settings = settings;
        this.environment = environment;
        this.self = self;
        this.log = log;
        random = new SplittableRandom(settings.randomSeed());
    }

    boolean hasSafeguard(ConsensusSafeguard safeguard) {
        return settings.hasSafeguard(safeguard);
    }

    double leaseMs() {
        return settings.leaseMs();
    }

    double heartbeatIntervalMs() {
        return settings.leaseMs() / HEARTBEATS_PER_LEASE;
    }

    void send(Member to, ConsensusMessage message) {
        environment.send(to, message);
    }

    /** The voters whose majorities decide elections, leases and commits. */
    VoterSet quorumSet() {
        VoterSet voters = log.voters();
        return voters.isJoint() && !hasSafeguard(ConsensusSafeguard.JOINT_QUORUM)
                ? VoterSet.of(voters.incoming())
                : voters;
    }

    /**
     * Whether this member is a voter according to the last committed entry or any later one. A
     * member removed by a change can be elected until that change is committed, since its log may
     * be the only one that can win the election.
     */
    boolean isVoter() {
        if (!hasSafeguard(ConsensusSafeguard.REMOVAL_ONLY_BY_COMMITTED_CHANGE)) {
            return log.voters().contains(self);
        }
        if (log.votersAt(commitIndex).contains(self)) {
            return true;
        }
        for (VoterSet voters : log.votersAfter(commitIndex)) {
            if (voters.contains(self)) {
                return true;
            }
        }
        return false;
    }

    /** Becomes a follower of the given leader, or of none if null. */
    void follow(Member newLeader) {
        role = Role.FOLLOWER;
        leader = newLeader;
    }
}
