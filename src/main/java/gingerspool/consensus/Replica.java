package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;
import java.util.List;
import java.util.Set;

/**
 * One replica of the log of commands, by the Raft algorithm (Ongaro and Ousterhout, 2014).
 *
 * <p>Invariants: each term has one leader at the most; an entry is committed once a majority of the
 * voters, and more members than may be lost, hold it durably; a committed entry is in the log of
 * every later leader. The leader serves only under a lease. Voters change by joint consensus.
 *
 * <p>Roles: a follower becomes a pre-candidate when it has heard no leader for a lease, a candidate
 * when a majority would vote for it, and the leader when a majority has; it is a follower again
 * when it hears of a newer term or has had no lease for the length of one.
 *
 * <p>Without I/O, clock or thread: times are milliseconds of a steady clock, effects go to a {@link
 * ReplicaEnvironment}. All calls must come from one thread. This class joins the parts and hands
 * each message to the one that it is for; the state that they share is in {@link ReplicaContext}.
 */
public final class Replica {
    private final ReplicaContext context;
    private final Durability durability;
    private final Election election;
    private final Replication replication;
    private final LeaderLease lease;
    private final Membership membership;
    private final Departure departure;
    private final Contacts contacts;
    private final Follower follower;
    private final StateMachineDriver stateMachine;

    /**
     * A member as its disk left it. Who was there at the first start passes the founders and no
     * disk's content; any other without content is a learner, which must be brought up.
     */
    public Replica(
            Member self,
            PersistedState recovered,
            List<Member> founders,
            ReplicaSettings settings,
            double now,
            ReplicaEnvironment environment) {
        boolean bootstraps = recovered == null && founders.contains(self);
        Snapshot base =
                recovered != null
                        ? recovered.snapshot()
                        : new Snapshot(0, 0, bootstraps ? founders : List.of(), null);
        RaftLog log = new RaftLog(base, recovered == null ? List.of() : recovered.entries());
        Member member = recovered == null ? self : recovered.self();
        context = new ReplicaContext(settings, environment, member, log);
        context.now = now;
        context.commitIndex = base.index();
        context.lastApplied = base.index();
        if (recovered != null) {
            context.term = recovered.term();
            context.votedFor = recovered.votedFor();
        }
        durability = new Durability(context, log.lastIndex(), this::onDurableEntries);
        stateMachine = new StateMachineDriver(context, durability);
        replication = new Replication(context, durability, this::onCommitted);
        lease = new LeaderLease(context, replication);
        election =
                new Election(
                        context,
                        durability,
                        bootstraps,
                        () -> lease.isActiveLeader(context.now),
                        this::onElected);
        LeadershipTransfer transfer = new LeadershipTransfer(context, replication, election);
        membership = new Membership(context, replication, lease, transfer);
        departure = new Departure(context, election, membership, transfer);
        contacts = new Contacts(context, election);
        follower = new Follower(context, durability, this::onCommitted);
        if (base.state() != null) {
            environment.restore(base.index(), base.state());
        }
        if (recovered == null) {
            durability.saveEntries(1, base);
        }
    }

    // ---- State ----

    public Member self() {
        return context.self;
    }

    public long term() {
        return context.term;
    }

    /** The voters; while a change is under way those before and after it. */
    public List<Member> members() {
        return context.log.voters().all();
    }

    /** Whether this member has no vote, as far as it knows. */
    public boolean isLearner() {
        return !context.isVoter();
    }

    /** The leader, as far as it was heard of within a lease, or null. */
    public Member leader(double now) {
        if (context.role == Role.LEADER) {
            return isActiveLeader(now) ? context.self : null;
        }
        return election.leader(now);
    }

    /**
     * Whether this member leads, has its lease, and has applied all that was committed before its
     * term: only then it may answer for the state, and do what only one may.
     */
    public boolean isActiveLeader(double now) {
        return lease.isActiveLeader(now);
    }

    /** Whether this member was elected for its term and has not stepped down; see leads(). */
    public boolean isElected() {
        return context.role == Role.LEADER;
    }

    /** The index of the last applied entry. */
    public long appliedIndex() {
        return context.lastApplied;
    }

    /**
     * The addresses of the machines that the environment should hold links to: voters, learners
     * that are brought up, and, while no leader is known, all that may know it.
     */
    public Set<String> contacts() {
        return contacts.addresses(
                context.role == Role.LEADER ? replication.followers().keySet() : Set.of());
    }

    // ---- Time ----

    /** Does what is due; nextTick() says when to call it next, and any earlier call is harmless. */
    public void tick(double now) {
        context.now = now;
        if (lease.mustStepDown()) {
            election.stepDown();
        }
        if (context.role == Role.LEADER) {
            replication.tick();
            membership.advance();
        } else {
            election.tick();
        }
        departure.tick();
        contacts.tick();
    }

    /** When tick should be called next. */
    public double nextTick() {
        double next =
                context.role == Role.LEADER
                        ? replication.nextHeartbeat()
                        : isLearner() ? contacts.nextTick() : election.nextTick();
        return Math.min(next, Math.min(departure.nextTick(), contacts.nextTick()));
    }

    // ---- Commands ----

    /**
     * Appends a command; false where this member does not lead. ReplicaEnvironment.apply tells that
     * it is committed.
     */
    public boolean propose(double now, byte[] command) {
        context.now = now;
        if (!isActiveLeader(now)) {
            return false;
        }
        replication.append(LogEntry.command(context.term, command));
        replication.advanceCommit();
        return true;
    }

    /** The state was repaired: a new snapshot of it is made. */
    public void compact(double now) {
        context.now = now;
        if (!context.log.voters().isEmpty()) {
            stateMachine.takeSnapshot();
        }
    }

    // ---- Leaving ----

    /** This member's process is about to end: another is to lead, and one to replace it. */
    public void leave(double now) {
        context.now = now;
        departure.begin();
    }

    /**
     * Whether the replacement of this member was agreed on, or there is none and another was asked
     * to lead: nothing is lost then if its process ends.
     */
    public boolean mayStop(double now) {
        context.now = now;
        return departure.mayStop();
    }

    // ---- Disk ----

    /** The write with this ticket and all before it are durable. */
    public void persisted(double now, long ticket) {
        context.now = now;
        durability.onPersisted(ticket);
    }

    /**
     * The disk failed, and what it holds is unknown: everything, to be written anew under a new
     * ticket.
     */
    public LogWrite fullState() {
        return durability.fullState();
    }

    private void onDurableEntries() {
        replication.advanceCommit();
    }

    private void onElected() {
        replication.onElected();
        membership.onElected();
        replication.advanceCommit();
    }

    private void onCommitted() {
        stateMachine.applyCommitted();
        VoterSet voters = context.log.voters();
        if (context.role == Role.LEADER && (voters.isJoint() || !voters.contains(context.self))) {
            membership.advance();
        }
    }

    // ---- Messages ----

    /** A message came for an earlier member of this machine: its sender may know the leader. */
    public void noteSender(Member from) {
        if (!from.ip().equals(context.self.ip())) {
            contacts.addKnownAddress(from.ip());
        }
    }

    /** A message for this member. */
    public void receive(double now, Member from, ConsensusMessage message) {
        context.now = now;
        noteSender(from);
        if (message instanceof ConsensusMessage.AppendEntries append) {
            if (acceptLeader(from, append.term())) {
                follower.onAppendEntries(from, append);
            }
        } else if (message instanceof ConsensusMessage.InstallSnapshot install) {
            if (acceptLeader(from, install.term())) {
                follower.onInstallSnapshot(from, install);
            }
        } else if (message instanceof ConsensusMessage.AppendReply appendReply) {
            if (isReplyToLeader(appendReply.term())) {
                replication.onAppendReply(from, appendReply);
                advanceMembership(from);
            }
        } else if (message instanceof ConsensusMessage.SnapshotReply snapshotReply) {
            if (isReplyToLeader(snapshotReply.term())) {
                replication.onSnapshotReply(from, snapshotReply);
            }
        } else if (message instanceof ConsensusMessage.JoinRequest) {
            onJoinRequest(from);
        } else if (message instanceof ConsensusMessage.Referral referral) {
            contacts.onReferral(referral);
        } else if (message instanceof ConsensusMessage.LeaveRequest) {
            onLeaveRequest(from);
        } else if (message instanceof ConsensusMessage.LeaveReply leaveReply) {
            departure.onLeaveReply(leaveReply);
        } else {
            receiveForElection(from, message);
        }
    }

    private void receiveForElection(Member from, ConsensusMessage message) {
        if (message instanceof ConsensusMessage.PreVote preVote) {
            election.onPreVote(from, preVote);
            if (!context.log.voters().contains(from)) {
                onJoinRequest(from);
            }
        } else if (message instanceof ConsensusMessage.PreVoteReply preVoteReply) {
            election.onPreVoteReply(from, preVoteReply);
        } else if (message instanceof ConsensusMessage.RequestVote voteRequest) {
            election.onRequestVote(from, voteRequest);
        } else if (message instanceof ConsensusMessage.VoteReply voteReply) {
            election.onVoteReply(from, voteReply);
        } else if (message instanceof ConsensusMessage.TimeoutNow timeoutNow) {
            election.onTimeoutNow(from, timeoutNow);
        }
    }

    /** Whether it comes from the leader of our term or a newer one; others are told so. */
    private boolean acceptLeader(Member from, long term) {
        if (term < context.term && context.hasSafeguard(ConsensusSafeguard.OLD_TERMS_REFUSED)) {
            context.send(
                    from,
                    new ConsensusMessage.AppendReply(
                            context.term, false, 0, 0, Double.NEGATIVE_INFINITY));
            return false;
        }
        election.onLeaderMessage(from, Math.max(term, context.term));
        contacts.onLeaderMessage();
        return true;
    }

    private boolean isReplyToLeader(long term) {
        if (term > context.term && context.role == Role.LEADER) {
            election.onHigherTerm(term);
        }
        return context.role == Role.LEADER && term == context.term;
    }

    /** A learner's answer may complete what a change of the voters waits for. */
    private void advanceMembership(Member from) {
        if (context.role == Role.LEADER && !context.log.voters().contains(from)) {
            membership.advance();
        }
    }

    private void onJoinRequest(Member from) {
        if (context.role == Role.LEADER) {
            membership.onJoinRequest(from);
        } else {
            contacts.sendReferral(from);
        }
    }

    private void onLeaveRequest(Member from) {
        if (context.role == Role.LEADER) {
            membership.onLeaveRequest(from);
        } else {
            contacts.sendReferral(from);
        }
    }
}
