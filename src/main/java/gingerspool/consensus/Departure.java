package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;
import java.util.Map;

/**
 * How this member leaves in order: it hands over leadership, asks the leader for its replacement,
 * and may stop once that is agreed on, or nobody is there to replace it.
 */
final class Departure {
    private final ReplicaContext context;
    private final Replication replication;
    private final Election election;
    private double askAt;
    private boolean noReplacement;

    Departure(ReplicaContext context, Replication replication, Election election) {
        this.context = context;
        this.replication = replication;
        this.election = election;
    }

    void begin() {
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
            handOver();
        } else if (context.isVoter()) {
            askForReplacement();
        }
    }

    double nextTick() {
        return context.leaving ? askAt : Double.POSITIVE_INFINITY;
    }

    private void askForReplacement() {
        ConsensusMessage request = new ConsensusMessage.LeaveRequest(context.term);
        Member leader = election.leader(context.now);
        if (leader != null) {
            context.send(leader, request);
        }
    }

    /** Gives up the lease; the voter with the longest log that answers is to lead at once. */
    void handOver() {
        Member heir = null;
        long most = -1;
        for (Map.Entry<Member, FollowerProgress> e : replication.followers().entrySet()) {
            boolean able =
                    context.log.voters().contains(e.getKey()) && replication.isHeard(e.getKey(), 1);
            if (able && e.getValue().matched > most) {
                heir = e.getKey();
                most = e.getValue().matched;
            }
        }
        if (heir == null) {
            return;
        }
        ConsensusMessage message = new ConsensusMessage.TimeoutNow(context.term, heir);
        for (Member member : context.log.voters().all()) {
            if (!member.equals(context.self)) {
                context.send(member, message);
            }
        }
        election.stepDown();
    }

    void onLeaveReply(ConsensusMessage.LeaveReply reply) {
        if (reply.term() == context.term) {
            noReplacement = !reply.replacementWaits();
        }
    }

    /** Whether nothing is lost if this member's process ends now. */
    boolean mayStop() {
        if (!context.guarded(Safeguard.LEAVER_STAYS_UNTIL_SWAPPED) || !context.isVoter()) {
            return true;
        }
        boolean alone = context.log.voters().all().size() == 1;
        return context.leaving && context.role != Role.LEADER && noReplacement || alone;
    }
}
