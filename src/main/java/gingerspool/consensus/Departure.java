package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;

/**
 * The orderly departure of this member. A leader first tries to be replaced as a voter if a learner
 * is ready, otherwise it transfers the leadership; any other voter asks the leader to replace it.
 * The process may stop once the replacement is committed, or if no replacement is available. Called
 * by {@link Replica}; times are in milliseconds.
 */
final class Departure {
    /** How long a departing leader waits for its replacement before it resigns, in leases. */
    private static final double REPLACEMENT_WAIT_LEASES = 1;

    private final ReplicaContext context;
    private final Election election;
    private final Membership membership;
    private final LeadershipTransfer transfer;
    private double startedAt;
    private double nextAttemptAt;

    /** Whether the leader's last reply was that no learner can replace this member. */
    private boolean noReplacementAvailable;

    Departure(
            ReplicaContext context,
            Election election,
            Membership membership,
            LeadershipTransfer transfer) {
        this.context = context;
        this.election = election;
        this.membership = membership;
        this.transfer = transfer;
    }

    /** Starts the departure; a repeated call only retries at once. */
    void begin() {
        if (!context.leaving) {
            startedAt = context.now;
        }
        context.leaving = true;
        nextAttemptAt = context.now;
        tick();
    }

    /** Retries the departure once per heartbeat interval. */
    void tick() {
        if (!context.leaving || context.now < nextAttemptAt) {
            return;
        }
        nextAttemptAt = context.now + context.heartbeatIntervalMs();
        if (context.role == Role.LEADER) {
            leaveAsLeader();
        } else if (context.isVoter()) {
            requestReplacement();
        }
    }

    double nextTick() {
        return context.leaving ? nextAttemptAt : Double.POSITIVE_INFINITY;
    }

    private void leaveAsLeader() {
        boolean canBeReplaced = membership.hasReadyLearner() || membership.isChanging();
        double waitingSince = Math.max(startedAt, membership.electedAt());
        if (canBeReplaced
                && context.now < waitingSince + REPLACEMENT_WAIT_LEASES * context.leaseMs()) {
            membership.advance();
        } else {
            transfer.start();
        }
    }

    private void requestReplacement() {
        Member leader = election.leader(context.now);
        if (leader != null) {
            context.send(leader, new ConsensusMessage.LeaveRequest(context.term));
        }
    }

    void onLeaveReply(ConsensusMessage.LeaveReply reply) {
        if (reply.term() == context.term) {
            noReplacementAvailable = !reply.replacementWaits();
        }
    }

    /** Whether the process of this member may end now without loss. */
    boolean mayStop() {
        if (!context.hasSafeguard(ConsensusSafeguard.LEAVER_STAYS_UNTIL_REPLACED)
                || !context.isVoter()) {
            return true;
        }
        boolean isOnlyVoter = context.log.voters().all().size() == 1;
        return context.leaving && context.role != Role.LEADER && noReplacementAvailable
                || isOnlyVoter;
    }
}
