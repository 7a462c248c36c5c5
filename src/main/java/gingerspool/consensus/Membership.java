package gingerspool.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The leader's part in changes of the voters. Learners are brought up as soon as they ask; voters
 * that lost their disk, are about to leave or are silent are replaced by learners that are caught
 * up, all at once, by one joint change, which does not wait for the log to be idle.
 */
final class Membership {
    /** The least voters wanted, where there are machines for so many. */
    private static final int LEAST_VOTERS = 3;

    /**
     * A voter that has not answered a new leader at all counts as silent after so many leases: its
     * silence began before.
     */
    private static final double SILENT_AT_START_LEASES = 0.5;

    /** Leases within which a learner finds a new leader. */
    private static final double LEARNER_SEARCH_LEASES = 2;

    /** Why a voter is to be replaced, the most urgent reason last. */
    private enum Replaceable {
        NO,
        SILENT,
        LEAVING,

        /** Another member, without its log, is on its machine. */
        DISK_LOST
    }

    private final ReplicaContext context;
    private final Replication replication;
    private final LeaderLease lease;
    private final LeadershipTransfer transfer;

    /** What was committed a heartbeat ago: a learner that has it is caught up. */
    private long caughtUpIndex;

    private double measuredAt;
    private long nextCaughtUpIndex;

    Membership(
            ReplicaContext context,
            Replication replication,
            LeaderLease lease,
            LeadershipTransfer transfer) {
        this.context = context;
        this.replication = replication;
        this.lease = lease;
        this.transfer = transfer;
    }

    /** A new term is led: a learner must have its first entry to be caught up. */
    void begin() {
        caughtUpIndex = replication.termStart();
        nextCaughtUpIndex = caughtUpIndex;
        measuredAt = context.now;
    }

    private void measure() {
        if (context.now >= measuredAt + context.heartbeat()) {
            caughtUpIndex = Math.max(caughtUpIndex, nextCaughtUpIndex);
            nextCaughtUpIndex = context.commitIndex;
            measuredAt = context.now;
        }
    }

    /** A machine asked to be brought up. */
    void onJoinRequest(Member from) {
        if (!context.log.voters().contains(from)) {
            replication.addLearner(from);
        }
    }

    /** When this member was elected. */
    double electedAt() {
        return replication.electedAt();
    }

    /** Whether a change of the voters is under way. */
    boolean isChanging() {
        return context.log.voters().isJoint() || context.log.votersIndex() > context.commitIndex;
    }

    /** Whether a learner could replace this member at once. */
    boolean hasReadyLearner() {
        return learners().stream().anyMatch(this::isReady);
    }

    /** A member is about to leave; tells it whether there is one to replace it. */
    void onLeaveRequest(Member from) {
        replication.progress(from).leavingAt = context.now;
        // A new leader does not know the learners yet: they find it within about a lease.
        boolean maybe =
                context.now < replication.electedAt() + LEARNER_SEARCH_LEASES * context.lease();
        boolean waits = maybe || learners().stream().anyMatch(this::isPresent);
        context.send(from, new ConsensusMessage.LeaveReply(context.term, waits));
        advance();
    }

    /** Takes the next step of a change that is under way, or begins one that is wanted. */
    void advance() {
        measure();
        RaftLog log = context.log;
        VoterSet voters = log.voters();
        if (!lease.isActiveLeader(context.now)
                || !replication.isOwnTermCommitted()
                        && context.hasSafeguard(ConsensusSafeguard.MEMBERSHIP_CHANGE_AFTER_OWN_TERM)
                || log.votersIndex() > context.commitIndex
                        && context.hasSafeguard(
                                ConsensusSafeguard.ONE_MEMBERSHIP_CHANGE_AT_A_TIME)) {
            return;
        }
        if (voters.isJoint()) {
            append(VoterSet.of(voters.incoming()));
        } else if (!voters.contains(context.self)) {
            transfer.run();
        } else {
            List<Member> next = nextVoters(voters.voters());
            if (!next.equals(voters.voters())) {
                append(voters.changedTo(next));
            }
        }
    }

    private void append(VoterSet voters) {
        for (Member member : context.log.voters().all()) {
            if (!voters.contains(member) && !member.equals(context.self)) {
                replication.progress(member).answered = false;
            }
        }
        replication.append(LogEntry.voters(context.term, voters));
        replication.advanceCommit();
    }

    private List<Member> nextVoters(List<Member> voters) {
        List<Member> next = new ArrayList<>(voters);
        List<Member> ready = new ArrayList<>(learners().stream().filter(this::isReady).toList());
        for (Member voter : replaceable(voters)) {
            if (ready.isEmpty()) {
                return next;
            }
            Member learner = replacementOf(voter, ready);
            ready.remove(learner);
            next.set(next.indexOf(voter), learner);
        }
        int wanted = Math.max(LEAST_VOTERS, 2 * context.settings.toleratedLosses() + 1);
        while (next.size() < wanted && !ready.isEmpty()) {
            next.add(ready.remove(0));
        }
        return next;
    }

    /** The one on the same machine, if it is ready. */
    private static Member replacementOf(Member voter, List<Member> ready) {
        for (Member learner : ready) {
            if (learner.ip().equals(voter.ip())) {
                return learner;
            }
        }
        return ready.get(0);
    }

    /** Voters to be replaced: disk lost first, then leaving, then silent. */
    private List<Member> replaceable(List<Member> voters) {
        List<Member> found = new ArrayList<>();
        for (Member voter : voters) {
            if (reasonToReplace(voter) != Replaceable.NO) {
                found.add(voter);
            }
        }
        found.sort(Comparator.comparing(this::reasonToReplace).reversed());
        return found;
    }

    private Replaceable reasonToReplace(Member voter) {
        if (voter.equals(context.self)) {
            return context.leaving ? Replaceable.LEAVING : Replaceable.NO;
        }
        FollowerProgress progress = replication.progress(voter);
        if (learners().stream().anyMatch(l -> l.ip().equals(voter.ip()) && isPresent(l))) {
            return Replaceable.DISK_LOST;
        }
        if (isLeaving(voter)) {
            return Replaceable.LEAVING;
        }
        double silentLeases =
                progress.answered ? ReplicaContext.SILENT_LEASES : SILENT_AT_START_LEASES;
        boolean isSilent = context.now > progress.heardAt + silentLeases * context.lease();
        return isSilent ? Replaceable.SILENT : Replaceable.NO;
    }

    private boolean isLeaving(Member member) {
        FollowerProgress progress = replication.followers().get(member);
        return progress != null && context.now <= progress.leavingAt + context.lease();
    }

    private List<Member> learners() {
        VoterSet voters = context.log.voters();
        List<Member> learners = new ArrayList<>();
        for (Map.Entry<Member, FollowerProgress> e : replication.followers().entrySet()) {
            if (!voters.contains(e.getKey())) {
                learners.add(e.getKey());
            }
        }
        return learners;
    }

    /** Whether a learner is there to stay: it answers, and is not about to leave. */
    private boolean isPresent(Member learner) {
        return replication.isHeard(learner, 1) && !isLeaving(learner);
    }

    private boolean isReady(Member learner) {
        boolean caughtUp =
                replication.progress(learner).matchIndex >= caughtUpIndex
                        || !context.hasSafeguard(
                                ConsensusSafeguard.LEARNER_CAUGHT_UP_BEFORE_VOTING);
        return isPresent(learner) && caughtUp;
    }
}
