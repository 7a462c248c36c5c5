package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;

/**
 * The leader's lease: a majority has acknowledged heartbeats sent within the lease length, and each
 * of these members withholds its vote from others for one lease after it received the heartbeat.
 * The leader relies on only a fraction of that time. Called by {@link Replica}; times are in
 * milliseconds.
 */
final class LeaderLease {
    /** The fraction of the lease that the leader relies on, to allow for clock drift. */
    private static final double TRUSTED_FRACTION = 0.75;

    private final ReplicaContext context;
    private final Replication replication;

    LeaderLease(ReplicaContext context, Replication replication) {
        this.context = context;
        this.replication = replication;
    }

    /** The time until which the leader relies on its lease. */
    double expiresAt() {
        double trustedFraction =
                context.hasSafeguard(ConsensusSafeguard.LEASE_TRUSTED_IN_PART)
                        ? TRUSTED_FRACTION
                        : 1 / TRUSTED_FRACTION;
        return context.quorumSet().quorumValue(replication::leaseStartOf, 0)
                + trustedFraction * context.leaseMs();
    }

    /**
     * Whether this member is the leader, holds its lease, and has applied everything committed
     * before its term. Only then may it serve reads of the state and act as the only leader.
     */
    boolean isActiveLeader(double now) {
        return context.role == Role.LEADER
                && (replication.isOwnTermCommitted()
                        || !context.hasSafeguard(ConsensusSafeguard.SERVE_AFTER_OWN_TERM_COMMITTED))
                && now < expiresAt();
    }

    /**
     * Whether the leader has been without a lease for one lease length. It then has no two-way
     * connection to a majority, and its heartbeats would only prevent the election of a leader that
     * has one.
     */
    boolean mustStepDown() {
        double withoutLeaseSince =
                Math.max(expiresAt(), replication.electedAt() + context.leaseMs());
        return context.role == Role.LEADER
                && context.hasSafeguard(ConsensusSafeguard.STEP_DOWN_WITHOUT_LEASE)
                && context.now > withoutLeaseSince + context.leaseMs();
    }
}
