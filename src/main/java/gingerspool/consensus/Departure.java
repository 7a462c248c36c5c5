package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;

/**
 * How this member leaves in order: a leader is replaced, if a learner is ready, or hands over; any
 * other asks the leader for its replacement. It may stop once that is agreed on, or nobody is there
 * to replace it.
 */
final class Departure {
    /** For so many leases a leader that leaves tries to be replaced before it hands over. */
    private static final double REPLACEMENT_WAIT_LEASES = 1;

    private final ReplicaContext context;
    private final Election election;
    private final Membership membership;
    private final LeadershipTransfer transfer;
    private double startedAt;
    private double nextAttemptAt;
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

    void begin() {
        if (!context.leaving) {
            startedAt = context.now;
        }
        context.leaving = true;
        nextAttemptAt = context.now;
        tick();
    }

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

    /** Whether nothing is lost if this member's process ends now. */
    boolean mayStop() {
        if (!context.hasSafeguard(ConsensusSafeguard.LEAVER_STAYS_UNTIL_SWAPPED)
                || !context.isVoter()) {
            return true;
        }
        boolean isOnlyVoter = context.log.voters().all().size() == 1;
        return context.leaving && context.role != Role.LEADER && noReplacementAvailable
                || isOnlyVoter;
    }
}
