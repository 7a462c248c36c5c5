package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Leader election: when this member starts an election, and which candidates it votes for. A member
 * that heard from a leader withholds its vote from others for one lease, which is what makes the
 * lease in {@link LeaderLease} safe. Called by {@link Replica}; times are in milliseconds.
 */
final class Election {
    /** The extra election delay of a departing member, in leases, so that others stand first. */
    private static final double LEAVING_DELAY_LEASES = 4;

    private final ReplicaContext context;
    private final Durability durability;
    private final BooleanSupplier isActiveLeader;
    private final Runnable onElected;

    /** Until this time the member votes only for the leader that it follows. */
    private double voteWithheldUntil;

    /** When this member starts an election unless it hears from a leader. */
    private double electionTimeoutAt;

    /** When a candidate repeats its request to voters that have not granted it. */
    private double retryAt;

    /** The term of this member's next candidacy, higher than any term it has learned of. */
    private long candidateTerm;

    /** The last term whose leader has resigned its lease, or -1. */
    private long resignedTerm = -1;

    private final Set<Member> votes = new HashSet<>();

    Election(
            ReplicaContext context,
            Durability durability,
            boolean bootstraps,
            BooleanSupplier isActiveLeader,
            Runnable onElected) {
        this.context = context;
        this.durability = durability;
        this.isActiveLeader = isActiveLeader;
        this.onElected = onElected;
        // Before the restart this member may have granted a lease to the leader it followed. A
        // lease of its own ended with the process, and in a term in which it voted for itself it
        // granted no other lease.
        boolean votedForSelf = context.self.equals(context.votedFor);
        boolean mayVoteAtOnce =
                bootstraps
                        || votedForSelf
                        || !context.hasSafeguard(ConsensusSafeguard.LEASE_WAITED_OUT_AFTER_RESTART);
        voteWithheldUntil = mayVoteAtOnce ? context.now : context.now + context.leaseMs();
        double timeoutDivisor = votedForSelf ? 2 * ReplicaContext.HEARTBEATS_PER_LEASE : 2;
        electionTimeoutAt =
                voteWithheldUntil
                        + context.leaseMs() * context.random.nextDouble() / timeoutDivisor;
    }

    /** The leader if it has been heard from within one lease, or null. */
    Member leader(double now) {
        return now < voteWithheldUntil ? context.leader : null;
    }

    void tick() {
        if (!context.isVoter()) {
            return;
        }
        if (context.now >= electionTimeoutAt && context.now >= voteWithheldUntil) {
            startPreVote();
        } else if (isCandidate() && context.now >= retryAt) {
            requestVotes();
        }
    }

    double nextTick() {
        double nextElectionAt = Math.max(electionTimeoutAt, voteWithheldUntil);
        return isCandidate() ? Math.min(retryAt, nextElectionAt) : nextElectionAt;
    }

    private boolean isCandidate() {
        return context.role == Role.PRE_CANDIDATE || context.role == Role.CANDIDATE;
    }

    /** Sets a new random election timeout, longer if this member is departing. */
    private void resetElectionTimeout() {
        double delayLeases = (context.leaving ? LEAVING_DELAY_LEASES : 0) + 0.5;
        electionTimeoutAt =
                context.now + context.leaseMs() * (delayLeases + context.random.nextDouble() / 2);
    }

    // ---- As a candidate ----

    /**
     * Asks whether a majority would vote for this member before it raises its term, so that a
     * partitioned member does not raise terms.
     */
    private void startPreVote() {
        context.leader = null;
        candidateTerm = Math.max(candidateTerm, context.term + 1);
        resetElectionTimeout();
        if (!context.hasSafeguard(ConsensusSafeguard.PRE_VOTE)) {
            startElection();
            return;
        }
        context.role = Role.PRE_CANDIDATE;
        votes.clear();
        votes.add(context.self);
        requestVotes();
        countVotes();
    }

    /** Raises the term, votes for itself, and requests votes once that vote is durable. */
    private void startElection() {
        context.role = Role.CANDIDATE;
        context.term = Math.max(context.term + 1, candidateTerm);
        context.votedFor = context.self;
        votes.clear();
        retryAt = electionTimeoutAt;
        durability.saveVote();
        long term = context.term;
        Runnable sendRequests =
                () -> {
                    if (context.role == Role.CANDIDATE && context.term == term) {
                        votes.add(context.self);
                        requestVotes();
                        countVotes();
                    }
                };
        if (context.hasSafeguard(ConsensusSafeguard.VOTE_DURABLE_BEFORE_REPLY)) {
            durability.whenDurable(sendRequests);
        } else {
            sendRequests.run();
        }
    }

    /**
     * Requests votes from all voters that have not granted one. Repeated every heartbeat interval,
     * since connections may still be coming up.
     */
    private void requestVotes() {
        retryAt = context.now + context.heartbeatIntervalMs();
        RaftLog log = context.log;
        ConsensusMessage request =
                context.role == Role.PRE_CANDIDATE
                        ? new ConsensusMessage.PreVote(
                                candidateTerm, log.lastTerm(), log.lastIndex())
                        : new ConsensusMessage.RequestVote(
                                context.term, log.lastTerm(), log.lastIndex());
        for (Member member : log.voters().all()) {
            if (!votes.contains(member)) {
                context.send(member, request);
            }
        }
    }

    void onPreVoteReply(Member from, ConsensusMessage.PreVoteReply reply) {
        candidateTerm = Math.max(candidateTerm, reply.currentTerm() + 1);
        if (context.role == Role.PRE_CANDIDATE && reply.granted() && reply.term() > context.term) {
            votes.add(from);
            countVotes();
        }
    }

    void onVoteReply(Member from, ConsensusMessage.VoteReply reply) {
        if (context.role == Role.CANDIDATE && reply.term() == context.term && reply.granted()) {
            votes.add(from);
            countVotes();
        }
    }

    private void countVotes() {
        if (!context.quorumSet().hasQuorum(votes::contains)) {
            return;
        }
        if (context.role == Role.PRE_CANDIDATE) {
            startElection();
        } else {
            context.role = Role.LEADER;
            context.leader = context.self;
            onElected.run();
        }
    }

    // ---- As a voter ----

    void onPreVote(Member from, ConsensusMessage.PreVote request) {
        boolean granted =
                mayVote(from, request.term())
                        && isUpToDate(request.lastLogTerm(), request.lastLogIndex());
        context.send(
                from, new ConsensusMessage.PreVoteReply(request.term(), granted, context.term));
    }

    void onRequestVote(Member from, ConsensusMessage.RequestVote request) {
        boolean repeated =
                from.equals(context.votedFor)
                        || !context.hasSafeguard(ConsensusSafeguard.ONE_VOTE_PER_TERM)
                                && isUpToDate(request.lastLogTerm(), request.lastLogIndex());
        if (request.term() == context.term && repeated && context.role != Role.LEADER) {
            grantVote(from, request.term());
            return;
        }
        if (!mayVote(from, request.term())) {
            context.send(from, new ConsensusMessage.VoteReply(request.term(), false));
            return;
        }
        context.term = request.term();
        context.votedFor = null;
        context.follow(null);
        boolean granted = isUpToDate(request.lastLogTerm(), request.lastLogIndex());
        if (granted) {
            context.votedFor = from;
            resetElectionTimeout();
        }
        durability.saveVote();
        if (granted) {
            grantVote(from, request.term());
        }
    }

    /**
     * Whether a vote in this term may be granted. The leader that this member follows may receive
     * it at any time, since it holds no lease while it is a candidate.
     */
    private boolean mayVote(Member from, long term) {
        boolean withheld =
                context.now < voteWithheldUntil
                        && context.hasSafeguard(ConsensusSafeguard.VOTE_WITHHELD_DURING_LEASE);
        return term > context.term
                && (!withheld || from.equals(context.votedFor))
                && !isActiveLeader.getAsBoolean();
    }

    /** Whether a log that ends with this term and index is as up to date as ours. */
    private boolean isUpToDate(long lastTerm, long lastIndex) {
        RaftLog log = context.log;
        return !context.hasSafeguard(ConsensusSafeguard.VOTE_ONLY_FOR_UP_TO_DATE_LOG)
                || lastTerm > log.lastTerm()
                || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
    }

    /** Sends the vote once it is durable, unless the term has changed by then. */
    private void grantVote(Member to, long term) {
        Runnable reply =
                () -> {
                    if (context.term == term) {
                        context.send(to, new ConsensusMessage.VoteReply(term, true));
                    }
                };
        if (context.hasSafeguard(ConsensusSafeguard.VOTE_DURABLE_BEFORE_REPLY)) {
            durability.whenDurable(reply);
        } else {
            reply.run();
        }
    }

    // ---- As a follower ----

    /**
     * Handles a message from the leader of a term that is not older than ours: grants it a lease.
     * Ignored if the leader has resigned in this term, since the message was sent before that.
     */
    void onLeaderMessage(Member from, long term) {
        if (term == resignedTerm) {
            return;
        }
        if (!from.equals(context.votedFor) || term > context.term) {
            context.term = term;
            context.votedFor = from;
            durability.saveVote();
        }
        context.follow(from);
        voteWithheldUntil = Math.max(voteWithheldUntil, context.now + context.leaseMs());
        double leavingDelayLeases = context.leaving ? LEAVING_DELAY_LEASES : 0;
        electionTimeoutAt =
                voteWithheldUntil
                        + context.leaseMs()
                                * (leavingDelayLeases + context.random.nextDouble() / 2);
    }

    /** Steps down because another member is in a higher term. */
    void onHigherTerm(long term) {
        context.term = term;
        context.votedFor = null;
        stepDown();
        durability.saveVote();
    }

    /** Gives up the leadership; a new election is possible after one lease, or later if leaving. */
    void stepDown() {
        context.follow(null);
        electionTimeoutAt = context.now + context.leaseMs();
        delayElectionIfLeaving();
    }

    private void delayElectionIfLeaving() {
        if (context.leaving) {
            electionTimeoutAt = context.now + LEAVING_DELAY_LEASES * context.leaseMs();
        }
    }

    /** The leader has resigned: the chosen successor starts an election at once, others wait. */
    void onTimeoutNow(Member from, ConsensusMessage.TimeoutNow message) {
        if (message.term() == context.term && from.equals(context.leader)) {
            // The leader no longer relies on its lease, so votes need not be withheld.
            resignedTerm = message.term();
            voteWithheldUntil = context.now;
            context.leader = null;
            if (message.successor().equals(context.self)) {
                electionTimeoutAt = context.now;
            } else {
                resetElectionTimeout();
            }
        }
    }
}
