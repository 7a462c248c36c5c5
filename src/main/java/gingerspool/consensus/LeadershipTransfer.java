package gingerspool.consensus;

import java.util.Map;

/**
 * Leadership transfer: the leader resigns its lease so that a successor can be elected at once,
 * without waiting for the lease to expire. Used by {@link Membership} and {@link Departure}.
 */
final class LeadershipTransfer {
    private final ReplicaContext context;
    private final Replication replication;
    private final Election election;

    LeadershipTransfer(ReplicaContext context, Replication replication, Election election) {
        this.context = context;
        this.replication = replication;
        this.election = election;
    }

    /**
     * Resigns in favour of the responsive voter with the longest matching log. Learners are
     * notified as well, so that they look for the new leader. Does nothing if no voter is
     * responsive.
     */
    void start() {
        Member successor = chooseSuccessor();
        if (successor == null) {
            return;
        }
        ConsensusMessage message = new ConsensusMessage.TimeoutNow(context.term, successor);
        replication.followers().keySet().forEach(member -> context.send(member, message));
        election.stepDown();
    }

    private Member chooseSuccessor() {
        Member successor = null;
        long highestMatchIndex = -1;
        for (Map.Entry<Member, FollowerProgress> follower : replication.followers().entrySet()) {
            boolean eligible =
                    context.log.voters().contains(follower.getKey())
                            && replication.hasAnsweredWithin(follower.getKey(), 1);
            if (eligible && follower.getValue().matchIndex > highestMatchIndex) {
                successor = follower.getKey();
                highestMatchIndex = follower.getValue().matchIndex;
            }
        }
        return successor;
    }
}
