package gingerspool.consensus;

/** A follower's or learner's part of replication: takes entries and snapshots from the leader. */
final class Follower {
    private final ReplicaContext context;
    private final Durability durability;
    private final Runnable onCommitted;
    private final SnapshotReceiver receiver;

    Follower(ReplicaContext context, Durability durability, Runnable onCommitted) {
        this.context = context;
        this.durability = durability;
        this.onCommitted = onCommitted;
        receiver = new SnapshotReceiver(context);
    }

    // ---- Entries ----

    void onAppendEntries(Member from, ConsensusMessage.AppendEntries message) {
        RaftLog log = context.log;
        if (log.voters().isEmpty()) {
            // Without a snapshot that names the voters no entries are of use.
            refuse(from, -1, 0, message.sentAt());
            return;
        }
        long previous = message.previousIndex();
        if (previous > log.lastIndex()) {
            refuse(from, log.lastIndex(), 0, message.sentAt());
            return;
        }
        if (!log.matches(previous, message.previousTerm())) {
            refuse(from, log.firstOfTermAt(previous) - 1, log.termAt(previous), message.sentAt());
            return;
        }
        long changedFrom = store(message);
        if (changedFrom <= log.lastIndex()) {
            durability.saveEntries(changedFrom, null);
        }
        long matching = previous + message.entries().size();
        accept(from, matching, message.commitIndex(), message.sentAt());
    }

    private void refuse(Member from, long last, long conflictTerm, double sentAt) {
        context.send(
                from,
                new ConsensusMessage.AppendReply(
                        context.term, false, last, conflictTerm, leaseAnswer(sentAt)));
    }

    /** Appends what is new, and removes what differs; the first index that changed. */
    private long store(ConsensusMessage.AppendEntries message) {
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
                // What the leader does not have was never committed.
                log.truncate(index);
                durability.truncated(index - 1);
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
     * A heartbeat counts for the lease through a restart of this member only once the vote for its
     * sender is durable.
     */
    private double leaseAnswer(double sentAt) {
        boolean durable =
                durability.voteIsDurable()
                        || !context.hasSafeguard(ConsensusSafeguard.LEASE_COUNTS_DURABLE_VOTES);
        return durable ? sentAt : Double.NEGATIVE_INFINITY;
    }

    /** Answers with what is durable now, and again once all that matches is. */
    private void accept(Member from, long matching, long leaderCommitted, double sentAt) {
        answer(from, matching, leaseAnswer(sentAt));
        if (durability.durableIndex() < matching || !durability.voteIsDurable()) {
            long term = context.term;
            durability.whenSaved(
                    () -> {
                        if (context.term == term && matching <= context.log.lastIndex()) {
                            answer(from, matching, sentAt);
                        }
                    });
        }
        context.commitIndex = Math.max(context.commitIndex, Math.min(leaderCommitted, matching));
        onCommitted.run();
    }

    private void answer(Member to, long matching, double sentAt) {
        long durable = durability.durableIndex();
        long last =
                context.hasSafeguard(ConsensusSafeguard.ACKNOWLEDGE_MATCHED_PREFIX)
                        ? Math.min(durable, matching)
                        : durable;
        context.send(to, new ConsensusMessage.AppendReply(context.term, true, last, 0, sentAt));
    }

    // ---- Snapshots ----

    void onInstallSnapshot(Member from, ConsensusMessage.InstallSnapshot message) {
        SnapshotPiece piece = message.piece();
        if (!isAhead(piece)) {
            reply(from, piece, piece.pieces(), message.sentAt());
            accept(from, piece.index(), message.commitIndex(), message.sentAt());
            return;
        }
        Snapshot complete = receiver.take(message.term(), piece);
        if (complete == null) {
            reply(from, piece, receiver.received(piece), message.sentAt());
            return;
        }
        install(complete);
        reply(from, piece, piece.pieces(), message.sentAt());
        accept(from, complete.index(), message.commitIndex(), message.sentAt());
    }

    private boolean isAhead(SnapshotPiece piece) {
        return piece.index() > context.lastApplied
                || context.log.voters().isEmpty()
                || !context.hasSafeguard(ConsensusSafeguard.SNAPSHOT_ONLY_FORWARD);
    }

    private void reply(Member to, SnapshotPiece piece, int received, double sentAt) {
        context.send(
                to,
                new ConsensusMessage.SnapshotReply(
                        context.term,
                        piece.index(),
                        piece.digest(),
                        received,
                        leaseAnswer(sentAt)));
    }

    /** Puts a snapshot in place of the log up to it; entries after it stay where they match. */
    private void install(Snapshot snapshot) {
        RaftLog log = context.log;
        boolean matches =
                snapshot.index() > log.snapshot().index()
                        && log.matches(snapshot.index(), snapshot.term())
                        && context.hasSafeguard(ConsensusSafeguard.SNAPSHOT_KEEPS_MATCHING_LOG);
        if (matches) {
            log.compact(snapshot);
        } else {
            log.reset(snapshot);
            durability.truncated(0);
        }
        context.commitIndex = Math.max(snapshot.index(), matches ? context.commitIndex : 0);
        context.lastApplied = snapshot.index();
        if (snapshot.state() != null) {
            context.environment.restore(snapshot.index(), snapshot.state());
        }
        durability.saveEntries(snapshot.index() + 1, snapshot);
    }
}
