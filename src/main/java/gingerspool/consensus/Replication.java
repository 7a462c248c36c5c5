package gingerspool.consensus;

import gingerspool.consensus.ReplicaContext.Role;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's part of replication: what each voter and learner has, what it is sent, and how far
 * the log is committed.
 */
final class Replication {
    /** Bounds of one message, in entries and in bytes. */
    private static final int BATCH_ENTRIES = 256;

    private static final long BATCH_BYTES = 1 << 18;

    private final ReplicaContext context;
    private final Durability durability;
    private final Runnable onCommitted;
    private final Map<Member, FollowerProgress> followers = new LinkedHashMap<>();
    private double heartbeatAt;

    /** The first entry of the term that this member leads. */
    private long termStart;

    private double electedAt;
    private Snapshot digested;
    private String digest;

    Replication(ReplicaContext context, Durability durability, Runnable onCommitted) {
        this.context = context;
        this.durability = durability;
        this.onCommitted = onCommitted;
    }

    // ---- What the leader knows ----

    double electedAt() {
        return electedAt;
    }

    double nextHeartbeat() {
        return heartbeatAt;
    }

    long termStart() {
        return termStart;
    }

    boolean isOwnTermCommitted() {
        return context.commitIndex >= termStart;
    }

    Map<Member, FollowerProgress> followers() {
        return followers;
    }

    FollowerProgress progress(Member member) {
        return followers.computeIfAbsent(
                member, k -> new FollowerProgress(context.log.lastIndex() + 1, context.now));
    }

    /** When the newest heartbeat was sent that this voter answered. */
    double leaseAcknowledgedAt(Member member) {
        return member.equals(context.self) ? context.now : progress(member).leaseAt;
    }

    private double durableAt(Member member) {
        return member.equals(context.self)
                ? durability.durableIndex()
                : progress(member).matchIndex;
    }

    /** Whether a member has answered within so many leases. */
    boolean isHeard(Member member, double leases) {
        FollowerProgress progress = followers.get(member);
        return progress != null
                && progress.answered
                && context.now <= progress.heardAt + leases * context.lease();
    }

    // ---- Sending ----

    /** Begins to lead: the term's first entry goes out. */
    void begin() {
        followers.clear();
        electedAt = context.now;
        termStart = context.log.lastIndex() + 1;
        append(LogEntry.begin(context.term));
    }

    /** Appends an entry and sends it. */
    void append(LogEntry entry) {
        context.log.append(entry);
        durability.saveEntries(context.log.lastIndex(), null);
        for (Member member : recipients()) {
            send(member, false);
        }
    }

    private List<Member> recipients() {
        for (Member member : context.log.voters().all()) {
            if (!member.equals(context.self)) {
                progress(member);
            }
        }
        return List.copyOf(followers.keySet());
    }

    /** Sends heartbeats where they are due, to learners too; who is silent and no voter goes. */
    void tick() {
        if (context.now < heartbeatAt) {
            return;
        }
        heartbeatAt = context.now + context.heartbeat();
        VoterSet voters = context.log.voters();
        double silentSince = context.now - ReplicaContext.SILENT_LEASES * context.lease();
        followers
                .entrySet()
                .removeIf(e -> !voters.contains(e.getKey()) && e.getValue().heardAt < silentSince);
        for (Member member : recipients()) {
            send(member, true);
        }
    }

    /** A learner asked to be brought up. */
    void addLearner(Member member) {
        if (!followers.containsKey(member)) {
            progress(member);
            send(member, true);
        }
    }

    /** Sends a member what it lacks, as far as there is room; a heartbeat in any case. */
    private void send(Member to, boolean heartbeat) {
        FollowerProgress progress = progress(to);
        if (progress.nextIndex <= context.log.snapshot().index()) {
            sendSnapshot(to, progress, heartbeat);
            return;
        }
        progress.snapshot = null;
        boolean due = heartbeat;
        while (due
                || progress.nextIndex <= context.log.lastIndex()
                        && progress.hasRoom()
                        && !progress.probing) {
            due = false;
            List<LogEntry> batch =
                    progress.hasRoom()
                            ? context.log.batch(progress.nextIndex, BATCH_ENTRIES, BATCH_BYTES)
                            : List.of();
            long previous = progress.nextIndex - 1;
            context.send(
                    to,
                    new ConsensusMessage.AppendEntries(
                            context.term,
                            previous,
                            context.log.termAt(previous),
                            batch,
                            context.commitIndex,
                            context.now));
            if (!progress.probing) {
                progress.sent(batch);
            }
        }
    }

    private void sendSnapshot(Member to, FollowerProgress progress, boolean heartbeat) {
        Snapshot base = context.log.snapshot();
        if (progress.snapshot == null || progress.snapshot.snapshot != base) {
            progress.snapshot =
                    new SnapshotSender(base, digestOf(base), context.settings.pieceBytes());
        }
        SnapshotSender sender = progress.snapshot;
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
        if (digested != snapshot) {
            digested = snapshot;
            digest = SnapshotDigest.of(SnapshotDigest.bytes(snapshot));
        }
        return digest;
    }

    // ---- Answers ----

    private FollowerProgress heard(Member from, double sentAt) {
        FollowerProgress progress = followers.get(from);
        if (progress != null) {
            progress.heardAt = context.now;
            progress.answered = true;
            progress.leaseAt = Math.max(progress.leaseAt, sentAt);
        }
        return progress;
    }

    void onAppendReply(Member from, ConsensusMessage.AppendReply reply) {
        FollowerProgress progress = heard(from, reply.sentAt());
        if (progress == null) {
            return;
        }
        if (reply.matched()) {
            progress.matchedUpTo(reply.lastIndex());
            advanceCommit();
        } else if (progress.probing
                && reply.conflictTerm() == 0
                && reply.lastIndex() >= progress.nextIndex - 1) {
            // Others of the messages that did not match were in flight: the probe is, too.
            return;
        } else {
            progress.resumeAt(resumption(progress, reply));
            progress.probing = true;
        }
        if (context.role == Role.LEADER && followers.containsKey(from)) {
            send(from, !reply.matched());
        }
    }

    /** Backs up by whole terms: past all entries of a term that the follower does not have. */
    private long resumption(FollowerProgress progress, ConsensusMessage.AppendReply reply) {
        long resume = Math.min(progress.nextIndex - 1, reply.lastIndex() + 1);
        if (reply.conflictTerm() == 0 || resume <= context.log.snapshot().index()) {
            return resume;
        }
        return Math.min(resume, context.log.lastUpToTerm(resume, reply.conflictTerm()) + 1);
    }

    void onSnapshotReply(Member from, ConsensusMessage.SnapshotReply reply) {
        FollowerProgress progress = heard(from, reply.sentAt());
        if (progress == null
                || progress.snapshot == null
                || !progress.snapshot.isAnsweredBy(reply)) {
            return;
        }
        if (progress.snapshot.received(reply.received())) {
            progress.resumeAt(reply.index() + 1);
            progress.snapshot = null;
        }
        send(from, false);
    }

    // ---- Committing ----

    /** Finds what enough disks hold. */
    void advanceCommit() {
        if (context.role != Role.LEADER) {
            return;
        }
        boolean copies = context.hasSafeguard(ConsensusSafeguard.MORE_COPIES_THAN_LOSSES);
        int least = copies ? context.settings.toleratedLosses() + 1 : 0;
        long held = (long) context.quorumSet().reached(this::durableAt, least);
        // What older terms left counts only with an entry of this term behind it.
        if (held > context.commitIndex
                && (context.log.termAt(held) == context.term
                        || !context.hasSafeguard(ConsensusSafeguard.COMMIT_ONLY_OWN_TERM))) {
            context.commitIndex = held;
            heartbeatAt = context.now;
            onCommitted.run();
        }
    }
}
