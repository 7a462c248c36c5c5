package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;
import java.util.List;
import java.util.Set;

/**
 * One replica of the command log, implementing the Raft algorithm (Ongaro and Ousterhout, 2014).
 *
 * <p>Invariants: each term has at most one leader; an entry is committed once a majority of the
 * voters, and more members than the tolerated losses, hold it durably; a committed entry is in the
 * log of every later leader. The leader serves only while it holds a lease. The set of voters is
 * changed by joint consensus.
 *
 * <p>Roles: a follower becomes a pre-candidate when it has not heard from a leader for one lease, a
 * candidate when a majority would vote for it, and the leader when a majority has voted for it. It
 * becomes a follower again when it learns of a higher term or has been without a lease for one
 * lease length.
 *
 * <p>Performs no I/O, reads no clock and starts no thread: times are milliseconds of a monotonic
 * clock passed in by the caller, and effects go to a {@link ReplicaEnvironment}. All calls must
 * come from one thread; in the control node that is the event loop. This class wires the components
 * together and dispatches each message to the one that handles it; the state they share is in
 * {@link ReplicaContext}.
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
     * Creates a replica from its recovered durable state.
     *
     * @param self the identity of this member; replaced by the recovered one if there is any
     * @param recovered the durable state, or null if the disk is empty
     * @param founders the voters of a new cluster. A member that is one of them and has no durable
     *     state bootstraps the cluster; any other member without durable state starts as a learner
     *     and has to be caught up by the leader.
     * @param settings the settings, constant for the life of the replica
     * @param now the current time, in milliseconds
     * @param environment receives the effects
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

    /** The voters; during a membership change, those before and those after it. */
    public List<Member> members() {
        return context.log.voters().all();
    }

    /** Whether this member is not a voter, as far as its own log shows. */
    public boolean isLearner() {
        return !context.isVoter();
    }

    /** The leader if it has been heard from within one lease, or null. */
    public Member leader(double now) {
        if (context.role == Role.LEADER) {
            return isActiveLeader(now) ? context.self : null;
        }
        return election.leader(now);
    }

    /**
     * Whether this member is the leader, holds its lease, and has applied everything committed
     * before its term. Only then may it serve reads of the state and act as the only leader.
     */
    public boolean isActiveLeader(double now) {
        return lease.isActiveLeader(now);
    }

    /**
     * Whether this member was elected for its term and has not stepped down. It may lack a lease;
     * see {@link #isActiveLeader}.
     */
    public boolean isElected() {
        return context.role == Role.LEADER;
    }

    /** The index of the last applied entry. */
    public long appliedIndex() {
        return context.lastApplied;
    }

    /**
     * The addresses of the machines to which the environment should keep connections: the voters,
     * the learners being caught up and, while no leader is known, all machines that may know it.
     */
    public Set<String> contacts() {
        return contacts.addresses(
                context.role == Role.LEADER ? replication.followers().keySet() : Set.of());
    }

    // ---- Time ----

    /**
     * Performs the timed work that is due: heartbeats, elections, membership changes. Must be
     * called at the time that {@link #nextTick} returns; earlier calls are harmless.
     */
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

    /** The time at which {@link #tick} should be called next, in milliseconds. */
    public double nextTick() {
        double next =
                context.role == Role.LEADER
                        ? replication.nextHeartbeat()
                        : isLearner() ? contacts.nextTick() : election.nextTick();
        return Math.min(next, Math.min(departure.nextTick(), contacts.nextTick()));
    }

    // ---- Commands ----

    /**
     * Appends a command to the log. {@link ReplicaEnvironment#apply} is called once it is
     * committed.
     *
     * @return false if this member is not the active leader; the command is then not appended
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

    /** Takes a new snapshot of the state. To be called after the state was repaired. */
    public void compact(double now) {
        context.now = now;
        if (!context.log.voters().isEmpty()) {
            stateMachine.takeSnapshot();
        }
    }

    // ---- Leaving ----

    /**
     * Starts the orderly departure of this member before its process ends: leadership moves to
     * another member, and a learner replaces this one if there is any.
     */
    public void leave(double now) {
        context.now = now;
        departure.begin();
    }

    /**
     * Whether the process may end without loss: the replacement of this member is committed, or no
     * replacement is available and this member does not lead.
     */
    public boolean mayStop(double now) {
        context.now = now;
        return departure.mayStop();
    }

    // ---- Disk ----

    /** Called when the write with this ticket and all earlier ones are durable. */
    public void persisted(double now, long ticket) {
        context.now = now;
        durability.onPersisted(ticket);
    }

    /**
     * The complete durable state under a new ticket. To be written after a disk failure, when the
     * contents of the disk are unknown.
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

    /**
     * Records the address of the sender, which may know the leader. Also called for messages
     * addressed to an earlier member on this machine.
     */
    public void noteSender(Member from) {
        if (!from.ip().equals(context.self.ip())) {
            contacts.addKnownAddress(from.ip());
        }
    }

    /** Handles a message addressed to this member. */
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

    /**
     * Follows the sender if its term is not older than ours; otherwise tells it our term.
     *
     * @return whether the sender was accepted as the leader
     */
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

    /** Whether a reply belongs to the term that this member leads; steps down on a higher term. */
    private boolean isReplyToLeader(long term) {
        if (term > context.term && context.role == Role.LEADER) {
            election.onHigherTerm(term);
        }
        return context.role == Role.LEADER && term == context.term;
    }

    /** A reply from a learner may show that it is caught up, which a membership change awaits. */
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
