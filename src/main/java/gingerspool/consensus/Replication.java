package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's side of replication: tracks the progress of each voter and learner, sends entries,
 * snapshots and heartbeats, and advances the commit index. Called by {@link Replica}, {@link
 * Membership} and the lease; times are in milliseconds.
 */
final class Replication {
    /** The most entries in one message. */
    private static final int MAX_BATCH_ENTRIES = 256;

    /** The most bytes of entries in one message; a single larger entry is still sent. */
    private static final long MAX_BATCH_BYTES = 1 << 18;

    private final ReplicaContext context;
    private final Durability durability;
    private final Runnable onCommitted;
    private final Map<Member, FollowerProgress> followers = new LinkedHashMap<>();
    private double nextHeartbeatAt;

    /** The index of the first entry of the term that this member leads. */
    private long termStartIndex;

    private double electedAt;

    /** The snapshot of the cached digest, which is computed once for all followers. */
    private Snapshot digestedSnapshot;

    private String cachedDigest;

    Replication(ReplicaContext context, Durability durability, Runnable onCommitted) {
        this.context = context;
        this.durability = durability;
        this.onCommitted = onCommitted;
    }

    // ---- State of the leader ----

    double electedAt() {
        return electedAt;
    }

    double nextHeartbeat() {
        return nextHeartbeatAt;
    }

    long termStart() {
        return termStartIndex;
    }

    boolean isOwnTermCommitted() {
        return context.commitIndex >= termStartIndex;
    }

    Map<Member, FollowerProgress> followers() {
        return followers;
    }

    /** The progress of a member, which is added as a follower if it is not one yet. */
    FollowerProgress progress(Member member) {
        return followers.computeIfAbsent(
                member,
                newMember -> new FollowerProgress(context.log.lastIndex() + 1, context.now));
    }

    /** The send time of the newest heartbeat that this voter acknowledged. */
    double leaseStartOf(Member member) {
        return member.equals(context.self) ? context.now : progress(member).leaseStartAt;
    }

    private double durableIndexOf(Member member) {
        return member.equals(context.self)
                ? durability.durableIndex()
                : progress(member).matchIndex;
    }

    /** Whether a member has answered in this term, the last time within this many leases. */
    boolean hasAnsweredWithin(Member member, double leases) {
        FollowerProgress progress = followers.get(member);
        return progress != null
                && progress.answered
                && context.now <= progress.lastReplyAt + leases * context.leaseMs();
    }

    // ---- Sending ----

    /** Starts leading: forgets the old progress and appends the first entry of the term. */
    void onElected() {
        followers.clear();
        electedAt = context.now;
        termStartIndex = context.log.lastIndex() + 1;
        append(LogEntry.termStart(context.term));
    }

    /** Appends an entry, writes it to disk, and sends it to all followers. */
    void append(LogEntry entry) {
        context.log.append(entry);
        durability.saveEntries(context.log.lastIndex(), null);
        for (Member member : recipients()) {
            send(member, false);
        }
    }

    /** All voters except this member, and all learners. */
    private List<Member> recipients() {
        for (Member member : context.log.voters().all()) {
            if (!member.equals(context.self)) {
                progress(member);
            }
        }
        return List.copyOf(followers.keySet());
    }

    /**
     * Sends heartbeats to voters and learners if they are due, and forgets followers that are
     * unresponsive and not voters.
     */
    void tick() {
        if (context.now < nextHeartbeatAt) {
            return;
        }
        nextHeartbeatAt = context.now + context.heartbeatIntervalMs();
        VoterSet voters = context.log.voters();
        double unresponsiveSince =
                context.now - ReplicaContext.UNRESPONSIVE_AFTER_LEASES * context.leaseMs();
        followers
                .entrySet()
                .removeIf(
                        follower ->
                                !voters.contains(follower.getKey())
                                        && follower.getValue().lastReplyAt < unresponsiveSince);
        for (Member member : recipients()) {
            send(member, true);
        }
    }

    /** Starts replicating to a learner that asked to join. */
    void addLearner(Member member) {
        if (!followers.containsKey(member)) {
            progress(member);
            send(member, true);
        }
    }

    /**
     * Sends a member the entries or the snapshot that it lacks, within the limits for data in
     * flight. If a heartbeat is due, at least one message is sent.
     */
    private void send(Member to, boolean heartbeat) {
        FollowerProgress progress = progress(to);
        if (progress.nextIndex <= context.log.snapshot().index()) {
            sendSnapshot(to, progress, heartbeat);
            return;
        }
        progress.snapshotSender = null;
        boolean heartbeatPending = heartbeat;
        while (heartbeatPending
                || progress.nextIndex <= context.log.lastIndex()
                        && progress.hasCapacity()
                        && !progress.probing) {
            heartbeatPending = false;
            List<LogEntry> batch =
                    progress.hasCapacity()
                            ? context.log.batch(
                                    progress.nextIndex, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
                            : List.of();
            long previousIndex = progress.nextIndex - 1;
            context.send(
                    to,
                    new ConsensusMessage.AppendEntries(
                            context.term,
                            previousIndex,
                            context.log.termAt(previousIndex),
                            batch,
                            context.commitIndex,
                            context.now));
            if (!progress.probing) {
                progress.recordSent(batch);
            }
        }
    }

    private void sendSnapshot(Member to, FollowerProgress progress, boolean heartbeat) {
        Snapshot base = context.log.snapshot();
        if (progress.snapshotSender == null || progress.snapshotSender.snapshot != base) {
            progress.snapshotSender =
                    new SnapshotSender(base, digestOf(base), context.settings.maxPieceBytes());
        }
        SnapshotSender sender = progress.snapshotSender;
        sender.send(
                heartbeat,
                number ->
                        context.send(
                                to,
                                new ConsensusMessage.InstallSnapshot(
                                        context.term,
                                        sender.piece(number),
                                        context.commitIndex,
                                        context.now)));
    }

    private String digestOf(Snapshot snapshot) {
        if (digestedSnapshot != snapshot) {
            digestedSnapshot = snapshot;
            cachedDigest = SnapshotDigest.of(SnapshotDigest.stateBytes(snapshot));
        }
        return cachedDigest;
    }

    // ---- Replies ----

    /** Records that a follower answered a message sent at this time; null if it is unknown. */
    private FollowerProgress recordReply(Member from, double sentAt) {
        FollowerProgress progress = followers.get(from);
        if (progress != null) {
            progress.lastReplyAt = context.now;
            progress.answered = true;
            progress.leaseStartAt = Math.max(progress.leaseStartAt, sentAt);
        }
        return progress;
    }

    void onAppendReply(Member from, ConsensusMessage.AppendReply reply) {
        FollowerProgress progress = recordReply(from, reply.sentAt());
        if (progress == null) {
            return;
        }
        if (reply.matched()) {
            progress.recordMatched(reply.lastIndex());
            advanceCommit();
        } else if (progress.probing
                && reply.conflictTerm() == 0
                && reply.lastIndex() >= progress.nextIndex - 1) {
            // A rejection of an earlier message in flight; the answer to the probe is still due.
            return;
        } else {
            progress.restartFrom(resumeIndex(progress, reply));
            progress.probing = true;
        }
        if (context.role == Role.LEADER && followers.containsKey(from)) {
            send(from, !reply.matched());
        }
    }

    /** The index to resume from; skips whole terms that the follower does not have. */
    private long resumeIndex(FollowerProgress progress, ConsensusMessage.AppendReply reply) {
        long resume = Math.min(progress.nextIndex - 1, reply.lastIndex() + 1);
        if (reply.conflictTerm() == 0 || resume <= context.log.snapshot().index()) {
            return resume;
        }
        return Math.min(resume, context.log.lastIndexUpToTerm(resume, reply.conflictTerm()) + 1);
    }

    void onSnapshotReply(Member from, ConsensusMessage.SnapshotReply reply) {
        FollowerProgress progress = recordReply(from, reply.sentAt());
        if (progress == null
                || progress.snapshotSender == null
                || !progress.snapshotSender.matches(reply)) {
            return;
        }
        if (progress.snapshotSender.onAcknowledged(reply.received())) {
            progress.restartFrom(reply.index() + 1);
            progress.snapshotSender = null;
        }
        send(from, false);
    }

    // ---- Committing ----

    /** Raises the commit index to the last entry that is durable on enough members. */
    void advanceCommit() {
        if (context.role != Role.LEADER) {
            return;
        }
        boolean requiresExtraCopies =
                context.hasSafeguard(ConsensusSafeguard.MORE_COPIES_THAN_LOSSES);
        int minCopies = requiresExtraCopies ? context.settings.toleratedLosses() + 1 : 0;
        long replicatedIndex =
                (long) context.quorumSet().quorumValue(this::durableIndexOf, minCopies);
        // Entries of older terms are committed only through a later entry of this term.
        if (replicatedIndex > context.commitIndex
                && (context.log.termAt(replicatedIndex) == context.term
                        || !context.hasSafeguard(ConsensusSafeguard.COMMIT_ONLY_OWN_TERM))) {
            context.commitIndex = replicatedIndex;
            nextHeartbeatAt = context.now;
            onCommitted.run();
        }
    }
}
