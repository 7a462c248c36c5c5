package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;

/**
 * The leader's lease: a majority has answered heartbeats sent within its length, and withholds its
 * votes from others that long after it received them. The leader trusts it for a part of it only.
 */
final class LeaderLease {
    /** The part of the lease that is trusted, since clocks run a little apart. */
    private static final double TRUSTED_PART = 0.75;

    private final ReplicaContext context;
    private final Replication replication;

    LeaderLease(ReplicaContext context, Replication replication) {
        this.context = context;
        this.replication = replication;
    }

    /** Until when the lease is trusted. */
    double end() {
        double trusted =
                context.hasSafeguard(ConsensusSafeguard.LEASE_TRUSTED_IN_PART)
                        ? TRUSTED_PART
                        : 1 / TRUSTED_PART;
        return context.quorumSet().reached(replication::leaseAcknowledgedAt, 0)
                + trusted * context.lease();
    }

    /**
     * Whether this member leads, has its lease, and has applied all that was committed before its
     * term: only then it may answer for the state, and do what only one may.
     */
    boolean isActiveLeader(double at) {
        return context.role == Role.LEADER
                && (replication.isOwnTermCommitted()
                        || !context.hasSafeguard(ConsensusSafeguard.SERVE_AFTER_OWN_TERM_COMMITTED))
                && at < end();
    }

    /**
     * Whether it has had no lease for the length of one: no majority hears it and is heard, so it
     * would only keep others from electing a leader that is.
     */
    boolean isLost() {
        double since = Math.max(end(), replication.electedAt() + context.lease());
        return context.role == Role.LEADER
                && context.hasSafeguard(ConsensusSafeguard.STEP_DOWN_WITHOUT_LEASE)
                && context.now > since + context.lease();
    }
}
