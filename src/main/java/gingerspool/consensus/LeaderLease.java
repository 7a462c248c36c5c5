package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;

/**
 * The leader's lease: a majority has answered heartbeats sent within its length, and withholds its
 * votes from others that long after it received them. The leader trusts it for a part of it only.
 */
final class LeaderLease {
    /** The part of the lease that is trusted, since clocks run a little apart. */
    private static final double TRUSTED_FRACTION = 0.75;

    private final ReplicaContext context;
    private final Replication replication;

    LeaderLease(ReplicaContext context, Replication replication) {
        this.context = context;
        this.replication = replication;
    }

    /** Until when the lease is trusted. */
    double expiresAt() {
        double trustedFraction =
                context.hasSafeguard(ConsensusSafeguard.LEASE_TRUSTED_IN_PART)
                        ? TRUSTED_FRACTION
                        : 1 / TRUSTED_FRACTION;
        return context.quorumSet().quorumValue(replication::leaseStartOf, 0)
                + trustedFraction * context.leaseMs();
    }

    /**
     * Whether this member leads, has its lease, and has applied all that was committed before its
     * term: only then it may answer for the state, and do what only one may.
     */
    boolean isActiveLeader(double now) {
        return context.role == Role.LEADER
                && (replication.isOwnTermCommitted()
                        || !context.hasSafeguard(ConsensusSafeguard.SERVE_AFTER_OWN_TERM_COMMITTED))
                && now < expiresAt();
    }

    /**
     * Whether it has had no lease for the length of one: no majority hears it and is heard, so it
     * would only keep others from electing a leader that is.
     */
    boolean mustStepDown() {
        double withoutLeaseSince =
                Math.max(expiresAt(), replication.electedAt() + context.leaseMs());
        return context.role == Role.LEADER
                && context.hasSafeguard(ConsensusSafeguard.STEP_DOWN_WITHOUT_LEASE)
                && context.now > withoutLeaseSince + context.leaseMs();
    }
}
