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
    private double begunAt;
    private double askAt;
    private boolean noReplacement;

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
            begunAt = context.now;
        }
        context.leaving = true;
        askAt = context.now;
        tick();
    }

    void tick() {
        if (!context.leaving || context.now < askAt) {
            return;
        }
        askAt = context.now + context.heartbeat();
        if (context.role == Role.LEADER) {
            leaveAsLeader();
        } else if (context.isVoter()) {
            askForReplacement();
        }
    }

    double nextTick() {
        return context.leaving ? askAt : Double.POSITIVE_INFINITY;
    }

    private void leaveAsLeader() {
        boolean replaced = membership.hasReadyLearner() || membership.isChanging();
        double from = Math.max(begunAt, membership.electedAt());
        if (replaced && context.now < from + REPLACEMENT_WAIT_LEASES * context.lease()) {
            membership.advance();
        } else {
            transfer.run();
        }
    }

    private void askForReplacement() {
        Member leader = election.leader(context.now);
        if (leader != null) {
            context.send(leader, new ConsensusMessage.LeaveRequest(context.term));
        }
    }

    void onLeaveReply(ConsensusMessage.LeaveReply reply) {
        if (reply.term() == context.term) {
            noReplacement = !reply.replacementWaits();
        }
    }

    /** Whether nothing is lost if this member's process ends now. */
    boolean mayStop() {
        if (!context.hasSafeguard(ConsensusSafeguard.LEAVER_STAYS_UNTIL_SWAPPED)
                || !context.isVoter()) {
            return true;
        }
        boolean alone = context.log.voters().all().size() == 1;
        return context.leaving && context.role != Role.LEADER && noReplacement || alone;
    }
}
