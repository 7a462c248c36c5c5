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
    private static final int MIN_VOTERS = 3;

    /**
     * A voter that has not answered a new leader at all counts as silent after so many leases: its
     * silence began before.
     */
    private static final double UNRESPONSIVE_TO_NEW_LEADER_LEASES = 0.5;

    /** Leases within which a learner finds a new leader. */
    private static final double LEARNER_DISCOVERY_LEASES = 2;

    /** Why a voter is to be replaced, the most urgent reason last. */
    private enum ReplacementReason {
        NONE,
        UNRESPONSIVE,
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

    private double caughtUpIndexUpdatedAt;
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
    void onElected() {
        caughtUpIndex = replication.termStart();
        nextCaughtUpIndex = caughtUpIndex;
        caughtUpIndexUpdatedAt = context.now;
    }

    private void updateCaughtUpIndex() {
        if (context.now >= caughtUpIndexUpdatedAt + context.heartbeatIntervalMs()) {
            caughtUpIndex = Math.max(caughtUpIndex, nextCaughtUpIndex);
            nextCaughtUpIndex = context.commitIndex;
            caughtUpIndexUpdatedAt = context.now;
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
        replication.progress(from).leaveRequestedAt = context.now;
        // A new leader does not know the learners yet: they find it within about a lease.
        boolean learnersMayBeUnknown =
                context.now
                        < replication.electedAt() + LEARNER_DISCOVERY_LEASES * context.leaseMs();
        boolean replacementWaits =
                learnersMayBeUnknown || learners().stream().anyMatch(this::isAvailable);
        context.send(from, new ConsensusMessage.LeaveReply(context.term, replacementWaits));
        advance();
    }

    /** Takes the next step of a change that is under way, or begins one that is wanted. */
    void advance() {
        updateCaughtUpIndex();
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
            appendVoters(VoterSet.of(voters.incoming()));
        } else if (!voters.contains(context.self)) {
            transfer.start();
        } else {
            List<Member> next = nextVoters(voters.voters());
            if (!next.equals(voters.voters())) {
                appendVoters(voters.jointWith(next));
            }
        }
    }

    private void appendVoters(VoterSet voters) {
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
        for (Member voter : votersToReplace(voters)) {
            if (ready.isEmpty()) {
                return next;
            }
            Member learner = replacementOf(voter, ready);
            ready.remove(learner);
            next.set(next.indexOf(voter), learner);
        }
        int targetSize = Math.max(MIN_VOTERS, 2 * context.settings.toleratedLosses() + 1);
        while (next.size() < targetSize && !ready.isEmpty()) {
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
    private List<Member> votersToReplace(List<Member> voters) {
        List<Member> selected = new ArrayList<>();
        for (Member voter : voters) {
            if (reasonToReplace(voter) != ReplacementReason.NONE) {
                selected.add(voter);
            }
        }
        selected.sort(Comparator.comparing(this::reasonToReplace).reversed());
        return selected;
    }

    private ReplacementReason reasonToReplace(Member voter) {
        if (voter.equals(context.self)) {
            return context.leaving ? ReplacementReason.LEAVING : ReplacementReason.NONE;
        }
        FollowerProgress progress = replication.progress(voter);
        if (learners().stream()
                .anyMatch(learner -> learner.ip().equals(voter.ip()) && isAvailable(learner))) {
            return ReplacementReason.DISK_LOST;
        }
        if (isLeaving(voter)) {
            return ReplacementReason.LEAVING;
        }
        double timeoutLeases =
                progress.answered
                        ? ReplicaContext.UNRESPONSIVE_AFTER_LEASES
                        : UNRESPONSIVE_TO_NEW_LEADER_LEASES;
        boolean isUnresponsive =
                context.now > progress.lastReplyAt + timeoutLeases * context.leaseMs();
        return isUnresponsive ? ReplacementReason.UNRESPONSIVE : ReplacementReason.NONE;
    }

    private boolean isLeaving(Member member) {
        FollowerProgress progress = replication.followers().get(member);
        return progress != null && context.now <= progress.leaveRequestedAt + context.leaseMs();
    }

    private List<Member> learners() {
        VoterSet voters = context.log.voters();
        List<Member> learners = new ArrayList<>();
        for (Map.Entry<Member, FollowerProgress> follower : replication.followers().entrySet()) {
            if (!voters.contains(follower.getKey())) {
                learners.add(follower.getKey());
            }
        }
        return learners;
    }

    /** Whether a learner is there to stay: it answers, and is not about to leave. */
    private boolean isAvailable(Member learner) {
        return replication.hasAnsweredWithin(learner, 1) && !isLeaving(learner);
    }

    private boolean isReady(Member learner) {
        boolean caughtUp =
                replication.progress(learner).matchIndex >= caughtUpIndex
                        || !context.hasSafeguard(
                                ConsensusSafeguard.LEARNER_CAUGHT_UP_BEFORE_VOTING);
        return isAvailable(learner) && caughtUp;
    }
}
