package gingerspool.consensus;

/**
 * The follower's side of replication, also used by learners: stores entries and installs snapshots
 * from the leader, and acknowledges what is durable. Called by {@link Replica} once the sender is
 * accepted as the leader; times are in milliseconds.
 */
final class Follower {
    private final ReplicaContext context;
    private final Durability durability;
    private final Runnable onCommitted;
    private final SnapshotReceiver snapshotReceiver;

    Follower(ReplicaContext context, Durability durability, Runnable onCommitted) {
        this.context = context;
        this.durability = durability;
        this.onCommitted = onCommitted;
        snapshotReceiver = new SnapshotReceiver(context);
    }

    // ---- Entries ----

    void onAppendEntries(Member from, ConsensusMessage.AppendEntries message) {
        RaftLog log = context.log;
        if (log.voters().isEmpty()) {
            // Entries cannot be used before a snapshot has set the voters.
            reject(from, -1, 0, message.sentAt());
            return;
        }
        long previousIndex = message.previousIndex();
        if (previousIndex > log.lastIndex()) {
            reject(from, log.lastIndex(), 0, message.sentAt());
            return;
        }
        if (!log.matches(previousIndex, message.previousTerm())) {
            reject(
                    from,
                    log.firstIndexOfTermAt(previousIndex) - 1,
                    log.termAt(previousIndex),
                    message.sentAt());
            return;
        }
        long changedFrom = storeEntries(message);
        if (changedFrom <= log.lastIndex()) {
            durability.saveEntries(changedFrom, null);
        }
        long matchIndex = previousIndex + message.entries().size();
        acknowledge(from, matchIndex, message.commitIndex(), message.sentAt());
    }

    /** Reports that the log does not match, and the last index at which it may match. */
    private void reject(Member from, long lastIndex, long conflictTerm, double sentAt) {
        context.send(
                from,
                new ConsensusMessage.AppendReply(
                        context.term, false, lastIndex, conflictTerm, leaseSentAt(sentAt)));
    }

    /**
     * Removes entries that conflict with the leader's and appends new ones. Returns the first index
     * that changed, or Long.MAX_VALUE if none did.
     */
    private long storeEntries(ConsensusMessage.AppendEntries message) {
        RaftLog log = context.log;
        long changedFrom = Long.MAX_VALUE;
        long index = message.previousIndex();
        for (LogEntry entry : message.entries()) {
            index++;
            if (index <= log.snapshot().index()) {
                continue;
            }
            boolean differs =
                    index <= log.lastIndex()
                            && (log.termAt(index) != entry.term()
                                    || !context.hasSafeguard(
                                            ConsensusSafeguard.TRUNCATE_ONLY_ON_CONFLICT));
            if (differs) {
                // An entry that the leader does not have was never committed.
                log.truncate(index);
                durability.onTruncated(index - 1);
                changedFrom = Math.min(changedFrom, index);
            }
            if (index > log.lastIndex()) {
                log.append(entry);
                changedFrom = Math.min(changedFrom, index);
            }
        }
        return changedFrom;
    }

    /**
     * The send time to acknowledge for the leader's lease: none while the vote for the leader is
     * not durable, since a restart of this member would forget the promise.
     */
    private double leaseSentAt(double sentAt) {
        boolean durable =
                durability.isVoteDurable()
                        || !context.hasSafeguard(ConsensusSafeguard.LEASE_COUNTS_DURABLE_VOTES);
        return durable ? sentAt : Double.NEGATIVE_INFINITY;
    }

    /** Acknowledges what is durable now, and again once all matching entries are durable. */
    private void acknowledge(Member from, long matchIndex, long leaderCommitIndex, double sentAt) {
        sendAppendReply(from, matchIndex, leaseSentAt(sentAt));
        if (durability.durableIndex() < matchIndex || !durability.isVoteDurable()) {
            long term = context.term;
            durability.whenDurable(
                    () -> {
                        if (context.term == term && matchIndex <= context.log.lastIndex()) {
                            sendAppendReply(from, matchIndex, sentAt);
                        }
                    });
        }
        context.commitIndex =
                Math.max(context.commitIndex, Math.min(leaderCommitIndex, matchIndex));
        onCommitted.run();
    }

    private void sendAppendReply(Member to, long matchIndex, double sentAt) {
        long durableIndex = durability.durableIndex();
        long lastIndex =
                context.hasSafeguard(ConsensusSafeguard.ACKNOWLEDGE_MATCHED_PREFIX)
                        ? Math.min(durableIndex, matchIndex)
                        : durableIndex;
        context.send(
                to, new ConsensusMessage.AppendReply(context.term, true, lastIndex, 0, sentAt));
    }

    // ---- Snapshots ----

    void onInstallSnapshot(Member from, ConsensusMessage.InstallSnapshot message) {
        SnapshotPiece piece = message.piece();
        if (!isAhead(piece)) {
            sendSnapshotReply(from, piece, piece.pieces(), message.sentAt());
            acknowledge(from, piece.index(), message.commitIndex(), message.sentAt());
            return;
        }
        Snapshot complete = snapshotReceiver.add(message.term(), piece);
        if (complete == null) {
            sendSnapshotReply(from, piece, snapshotReceiver.received(piece), message.sentAt());
            return;
        }
        install(complete);
        sendSnapshotReply(from, piece, piece.pieces(), message.sentAt());
        acknowledge(from, complete.index(), message.commitIndex(), message.sentAt());
    }

    /** Whether a snapshot is ahead of the last applied entry, or is the first to set the voters. */
    private boolean isAhead(SnapshotPiece piece) {
        return piece.index() > context.lastApplied
                || context.log.voters().isEmpty()
                || !context.hasSafeguard(ConsensusSafeguard.SNAPSHOT_ONLY_FORWARD);
    }

    private void sendSnapshotReply(Member to, SnapshotPiece piece, int received, double sentAt) {
        context.send(
                to,
                new ConsensusMessage.SnapshotReply(
                        context.term,
                        piece.index(),
                        piece.digest(),
                        received,
                        leaseSentAt(sentAt)));
    }

    /** Replaces the log by a snapshot; keeps later entries if the log matches at its index. */
    private void install(Snapshot snapshot) {
        RaftLog log = context.log;
        boolean keepsLaterEntries =
                snapshot.index() > log.snapshot().index()
                        && log.matches(snapshot.index(), snapshot.term())
                        && context.hasSafeguard(ConsensusSafeguard.SNAPSHOT_KEEPS_MATCHING_LOG);
        if (keepsLaterEntries) {
            log.compact(snapshot);
        } else {
            log.reset(snapshot);
            durability.onTruncated(0);
        }
        context.commitIndex =
                Math.max(snapshot.index(), keepsLaterEntries ? context.commitIndex : 0);
        context.lastApplied = snapshot.index();
        if (snapshot.state() != null) {
            context.environment.restore(snapshot.index(), snapshot.state());
        }
        durability.saveEntries(snapshot.index() + 1, snapshot);
    }
}
