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
    void run() {
        Member successor = successor();
        if (successor == null) {
            return;
        }
        ConsensusMessage message = new ConsensusMessage.TimeoutNow(context.term, successor);
        replication.followers().keySet().forEach(member -> context.send(member, message));
        election.stepDown();
    }

    private Member successor() {
        Member successor = null;
        long most = -1;
        for (Map.Entry<Member, FollowerProgress> e : replication.followers().entrySet()) {
            boolean able =
                    context.log.voters().contains(e.getKey()) && replication.isHeard(e.getKey(), 1);
            if (able && e.getValue().matchIndex > most) {
                successor = e.getKey();
                most = e.getValue().matchIndex;
            }
        }
        return successor;
    }
}
