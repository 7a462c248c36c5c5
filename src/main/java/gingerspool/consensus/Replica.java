package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;
import java.util.List;
import java.util.Set;

/**
 * One replica of the log of commands, by the Raft algorithm: each term has one leader, which
 * appends commands; an entry is committed once more members than may be lost, and a majority, hold
 * it durably. The leader serves under a lease. Voters change by joint consensus. Without I/O, clock
 * or thread: times are milliseconds of a steady clock, and effects go to a ReplicaEnvironment.
 */
public final class Replica {
    /** The log is replaced by a snapshot once it is so many times as large as the last one. */
    private static final int SNAPSHOT_FACTOR = 2;

    private final ReplicaContext context;
    private final Durability durability;
    private final Election election;
    private final Replication replication;
    private final LeaderLease lease;
    private final Membership membership;
    private final Departure departure;
    private final Contacts contacts;
    private final Follower follower;

    /** The size of the applied entries that no snapshot holds, in bytes. */
    private long appliedBytes;

    /**
     * A member as its disk left it. Who was there at the first start passes the founders and no
     * disk's content; any other without content is a learner, which must be brought up.
     */
    public Replica(
            Member self,
            PersistedState disk,
            List<Member> founders,
            ReplicaSettings settings,
            double now,
            ReplicaEnvironment environment) {
        boolean founds = disk == null && founders.contains(self);
        Snapshot base =
                disk != null
                        ? disk.snapshot()
                        : new Snapshot(0, 0, founds ? founders : List.of(), null);
        RaftLog log = new RaftLog(base, disk == null ? List.of() : disk.entries());
        Member member = disk == null ? self : disk.self();
        context = new ReplicaContext(settings, environment, member, log);
        context.now = now;
        context.committed = base.index();
        context.applied = base.index();
        if (disk != null) {
            context.term = disk.term();
            context.votedFor = disk.votedFor();
        }
        durability = new Durability(context, log.last(), this::onDurableEntries);
        replication = new Replication(context, durability, this::onCommitted);
        lease = new LeaderLease(context, replication);
        election =
                new Election(
                        context,
                        durability,
                        founds,
                        () -> lease.leads(context.now),
                        this::onElected);
        LeadershipTransfer transfer = new LeadershipTransfer(context, replication, election);
        membership = new Membership(context, replication, lease, transfer);
        departure = new Departure(context, election, membership, transfer);
        contacts = new Contacts(context, election);
        follower = new Follower(context, durability, this::onCommitted);
        if (base.state() != null) {
            environment.restore(base.index(), base.state());
        }
        if (disk == null) {
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

    /** Who leads, as far as known lately, or null. */
    public Member leader(double at) {
        if (context.role == Role.LEADER) {
            return leads(at) ? context.self : null;
        }
        return election.leader(at);
    }

    /**
     * Whether this member leads, has its lease, and has applied all that was committed before its
     * term: only then it may answer for the state, and do what only one may.
     */
    public boolean leads(double at) {
        return lease.leads(at);
    }

    /** Whether this member was elected for its term and has not stepped down; see leads(). */
    public boolean isElected() {
        return context.role == Role.LEADER;
    }

    /** The index of the last applied entry. */
    public long appliedIndex() {
        return context.applied;
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
    public void tick(double at) {
        context.now = at;
        if (lease.isLost()) {
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
    public boolean propose(double at, byte[] command) {
        context.now = at;
        if (!leads(at)) {
            return false;
        }
        replication.append(LogEntry.command(context.term, command));
        replication.advanceCommit();
        return true;
    }

    /** The state was repaired: a new snapshot of it is made. */
    public void compact(double at) {
        context.now = at;
        if (!context.log.voters().isEmpty()) {
            makeSnapshot();
        }
    }

    // ---- Leaving ----

    /** This member's process is about to end: another is to lead, and one to replace it. */
    public void leave(double at) {
        context.now = at;
        departure.begin();
    }

    /**
     * Whether the replacement of this member was agreed on, or there is none and another was asked
     * to lead: nothing is lost then if its process ends.
     */
    public boolean mayStop(double at) {
        context.now = at;
        return departure.mayStop();
    }

    // ---- Disk ----

    /** The write with this ticket and all before it are durable. */
    public void persisted(double at, long ticket) {
        context.now = at;
        durability.persisted(ticket);
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
        replication.begin();
        membership.begin();
        replication.advanceCommit();
    }

    private void onCommitted() {
        while (context.applied < Math.min(context.committed, context.log.last())) {
            context.applied++;
            LogEntry entry = context.log.entry(context.applied);
            appliedBytes += entry.size();
            if (entry.command() != null) {
                context.environment.apply(context.applied, entry.command());
            }
        }
        byte[] state = context.log.base().state();
        long last = state == null ? 0 : (long) SNAPSHOT_FACTOR * state.length;
        if (appliedBytes > Math.max(context.settings.snapshotFloor(), last)) {
            makeSnapshot();
        }
        if (context.role == Role.LEADER
                && (context.log.voters().isJoint()
                        || !context.log.voters().contains(context.self))) {
            membership.advance();
        }
    }

    /** Puts the applied state in the place of the applied entries. */
    private void makeSnapshot() {
        RaftLog log = context.log;
        long index = context.applied;
        log.compact(
                new Snapshot(
                        index,
                        log.termAt(index),
                        log.votersAt(index),
                        context.environment.snapshotState()));
        appliedBytes = 0;
        durability.saveEntries(index + 1, log.base());
    }

    // ---- Messages ----

    /** A message came for an earlier member of this machine: its sender may know the leader. */
    public void hear(Member from) {
        if (!from.ip().equals(context.self.ip())) {
            contacts.hear(from.ip());
        }
    }

    /** A message for this member. */
    public void receive(double at, Member from, ConsensusMessage message) {
        context.now = at;
        hear(from);
        if (message instanceof ConsensusMessage.AppendEntries m) {
            if (heardLeader(from, m.term())) {
                follower.onAppendEntries(from, m);
            }
        } else if (message instanceof ConsensusMessage.InstallSnapshot m) {
            if (heardLeader(from, m.term())) {
                follower.onInstallSnapshot(from, m);
            }
        } else if (message instanceof ConsensusMessage.AppendReply m) {
            if (isAnswerToLeader(m.term())) {
                replication.onAppendReply(from, m);
                advanceMembership(from);
            }
        } else if (message instanceof ConsensusMessage.SnapshotReply m) {
            if (isAnswerToLeader(m.term())) {
                replication.onSnapshotReply(from, m);
            }
        } else if (message instanceof ConsensusMessage.JoinRequest) {
            onJoinRequest(from);
        } else if (message instanceof ConsensusMessage.Referral m) {
            contacts.onReferral(m);
        } else if (message instanceof ConsensusMessage.LeaveRequest) {
            onLeaveRequest(from);
        } else if (message instanceof ConsensusMessage.LeaveReply m) {
            departure.onLeaveReply(m);
        } else {
            receiveForElection(from, message);
        }
    }

    private void receiveForElection(Member from, ConsensusMessage message) {
        if (message instanceof ConsensusMessage.PreVote m) {
            election.onPreVote(from, m);
            if (!context.log.voters().contains(from)) {
                onJoinRequest(from);
            }
        } else if (message instanceof ConsensusMessage.PreVoteReply m) {
            election.onPreVoteReply(from, m);
        } else if (message instanceof ConsensusMessage.RequestVote m) {
            election.onRequestVote(from, m);
        } else if (message instanceof ConsensusMessage.VoteReply m) {
            election.onVoteReply(from, m);
        } else if (message instanceof ConsensusMessage.TimeoutNow m) {
            election.onTimeoutNow(from, m);
        }
    }

    /** Whether it comes from the leader of our term or a newer one; others are told so. */
    private boolean heardLeader(Member from, long term) {
        if (term < context.term && context.guarded(ConsensusSafeguard.OLD_TERMS_REFUSED)) {
            context.send(
                    from,
                    new ConsensusMessage.AppendReply(
                            context.term, false, 0, 0, Double.NEGATIVE_INFINITY));
            return false;
        }
        election.heardLeader(from, Math.max(term, context.term));
        contacts.heardLeader();
        return true;
    }

    private boolean isAnswerToLeader(long term) {
        if (term > context.term && context.role == Role.LEADER) {
            election.sawHigherTerm(term);
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
            contacts.refer(from);
        }
    }

    private void onLeaveRequest(Member from) {
        if (context.role == Role.LEADER) {
            membership.onLeaveRequest(from);
        } else {
            contacts.refer(from);
        }
    }
}
