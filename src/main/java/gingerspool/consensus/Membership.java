package gingerspool.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The leader's side of membership changes. Learners are caught up as soon as they ask to join.
 * Voters that lost their disk, are leaving or are unresponsive are replaced by learners that are
 * caught up, all of them in one joint change, which does not wait for the log to be idle. Called by
 * {@link Replica} and {@link Departure}; times are in milliseconds.
 */
final class Membership {
    /** The minimum target number of voters; fewer if there are not enough machines. */
    private static final int MIN_VOTERS = 3;

    /**
     * The time after which a voter that has never answered a new leader counts as unresponsive, in
     * leases. Shorter than usual, since its silence began before the election.
     */
    private static final double UNRESPONSIVE_TO_NEW_LEADER_LEASES = 0.5;

    /** The time within which a learner finds a new leader, in leases. */
    private static final double LEARNER_DISCOVERY_LEASES = 2;

    /** Why a voter should be replaced. Ordered by urgency, the most urgent reason last. */
    private enum ReplacementReason {
        NONE,
        UNRESPONSIVE,
        LEAVING,

        /** A new member without the voter's log runs on the voter's machine. */
        DISK_LOST
    }

    private final ReplicaContext context;
    private final Replication replication;
    private final LeaderLease lease;
    private final LeadershipTransfer transfer;

    /**
     * The commit index at least one heartbeat interval ago. A learner whose log matches up to it
     * counts as caught up.
     */
    private long caughtUpIndex;

    private double caughtUpIndexUpdatedAt;

    /** The commit index at the last update, which becomes the caught-up index at the next one. */
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

    /** Called when this member is elected. A learner must hold the first entry of the new term. */
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

    /** Handles a request to join: the member becomes a learner if it is not a voter. */
    void onJoinRequest(Member from) {
        if (!context.log.voters().contains(from)) {
            replication.addLearner(from);
        }
    }

    /** When this member was elected leader. */
    double electedAt() {
        return replication.electedAt();
    }

    /** Whether a membership change is in progress. */
    boolean isChanging() {
        return context.log.voters().isJoint() || context.log.votersIndex() > context.commitIndex;
    }

    /** Whether a learner is ready to replace this member at once. */
    boolean hasReadyLearner() {
        return learners().stream().anyMatch(this::isReady);
    }

    /** Handles a member's request to leave: tells it whether a replacement is available. */
    void onLeaveRequest(Member from) {
        replication.progress(from).leaveRequestedAt = context.now;
        // A new leader does not know the learners yet; they find it within about one lease.
        boolean learnersMayBeUnknown =
                context.now
                        < replication.electedAt() + LEARNER_DISCOVERY_LEASES * context.leaseMs();
        boolean replacementWaits =
                learnersMayBeUnknown || learners().stream().anyMatch(this::isAvailable);
        context.send(from, new ConsensusMessage.LeaveReply(context.term, replacementWaits));
        advance();
    }

    /** Takes the next step of the membership change in progress, or starts one if needed. */
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

    /** Appends a voter set. Voters that it removes have to answer again to count as learners. */
    private void appendVoters(VoterSet voters) {
        for (Member member : context.log.voters().all()) {
            if (!voters.contains(member) && !member.equals(context.self)) {
                replication.progress(member).answered = false;
            }
        }
        replication.append(LogEntry.voters(context.term, voters));
        replication.advanceCommit();
    }

    /** The voters that the set should consist of, given the learners that are ready. */
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

    /** The ready learner on the voter's machine if there is one, otherwise the first ready one. */
    private static Member replacementOf(Member voter, List<Member> ready) {
        for (Member learner : ready) {
            if (learner.ip().equals(voter.ip())) {
                return learner;
            }
        }
        return ready.get(0);
    }

    /** The voters to replace: first those with a lost disk, then leaving, then unresponsive. */
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

    /** Whether a member has asked to leave within the last lease. */
    private boolean isLeaving(Member member) {
        FollowerProgress progress = replication.followers().get(member);
        return progress != null && context.now <= progress.leaveRequestedAt + context.leaseMs();
    }

    /** The followers that are not voters. */
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

    /** Whether a learner is responsive and not leaving. */
    private boolean isAvailable(Member learner) {
        return replication.hasAnsweredWithin(learner, 1) && !isLeaving(learner);
    }

    /** Whether a learner is available and caught up, so that it can become a voter. */
    private boolean isReady(Member learner) {
        boolean caughtUp =
                replication.progress(learner).matchIndex >= caughtUpIndex
                        || !context.hasSafeguard(
                                ConsensusSafeguard.LEARNER_CAUGHT_UP_BEFORE_VOTING);
        return isAvailable(learner) && caughtUp;
    }
}
