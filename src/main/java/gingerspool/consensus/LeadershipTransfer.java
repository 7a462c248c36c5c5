package gingerspool.consensus;

import java.util.Map;

/** How a leader gives up its lease, so that another leads at once and no lease must run out. */
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
     * The voter with the longest log that answers is to lead at once; learners are told, too, and
     * look for the new leader. Nothing happens where no voter answers.
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
