package gingerspool.consensus;

import java.util.SplittableRandom;

/** What the parts of one replica share: its settings, its log, its term and its role. */
final class ReplicaContext {
    /** The part that a replica plays in its term. */
    enum Role {
        FOLLOWER,
        PRE_CANDIDATE,
        CANDIDATE,
        LEADER
    }

    /** Heartbeats a lease. */
    static final double HEARTBEATS_PER_LEASE = 6;

    /** A member that was not heard for so many leases is silent. */
    static final double UNRESPONSIVE_AFTER_LEASES = 2;

    final ReplicaSettings settings;
    final ReplicaEnvironment environment;
    final SplittableRandom random;
    final Member self;
    final RaftLog log;
    double now;
    long term;

    /** Whom this member voted for, or followed, in its term; null: nobody. */
    Member votedFor;

    Role role = Role.FOLLOWER;

    /** The leader of the term, or null where it is not known. */
    Member leader;

    long commitIndex;
    long lastApplied;

    /** Whether this member is about to leave. */
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

    /** Those whose majorities decide. */
    VoterSet quorumSet() {
        VoterSet voters = log.voters();
        return voters.isJoint() && !hasSafeguard(ConsensusSafeguard.JOINT_QUORUM)
                ? VoterSet.of(voters.incoming())
                : voters;
    }

    /**
     * Whether this member votes by the last committed entry or any after it. One that a change
     * removes stands for election until that change is committed: its log may be the only one that
     * can win.
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

    /** Follows a leader, or nobody for now. */
    void follow(Member newLeader) {
        role = Role.FOLLOWER;
        leader = newLeader;
    }
}
