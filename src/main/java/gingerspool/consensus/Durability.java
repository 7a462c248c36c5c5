package gingerspool.consensus;

import java.util.ArrayDeque;

/**
 * Tracks which writes of this replica are durable, and runs the actions that wait for one. Writes
 * are numbered by tickets, which increase by one with each write.
 */
final class Durability {
    /** An action to run once the write with this ticket is durable. */
    private record PendingAction(long ticket, Runnable action) {}

    private final ReplicaContext context;
    private final Runnable onDurableEntries;
    private final ArrayDeque<PendingAction> pendingActions = new ArrayDeque<>();

    /** The ticket of the newest write. */
    private long lastTicket;

    /** The ticket up to which all writes are durable. */
    private long durableTicket;

    /** The ticket of the write of the newest term and vote. */
    private long voteTicket;

    private long durableIndex;

    /**
     * The number of truncations. A write started before a truncation does not show that the entries
     * appended after it are durable.
     */
    private long truncations;

    Durability(ReplicaContext context, long durableIndex, Runnable onDurableEntries) {
        this.context = context;
        this.durableIndex = durableIndex;
        this.onDurableEntries = onDurableEntries;
    }

    /** The index up to which the log entries are durable. */
    long durableIndex() {
        return context.hasSafeguard(ConsensusSafeguard.SYNC_BEFORE_ACKNOWLEDGE)
                ? durableIndex
                : context.log.lastIndex();
    }

    /** Whether the newest term and vote are durable. */
    boolean isVoteDurable() {
        return durableTicket >= voteTicket;
    }

    /** Writes the entries from an index on, and the snapshot unless it is null. */
    void saveEntries(long fromIndex, Snapshot snapshot) {
        context.environment.persist(
                new LogWrite(
                        ++lastTicket,
                        context.self,
                        context.term,
                        context.votedFor,
                        fromIndex,
                        context.log.entriesFrom(fromIndex),
                        snapshot));
        long lastIndex = context.log.lastIndex();
        long truncationsBefore = truncations;
        whenDurable(
                () -> {
                    if (truncations == truncationsBefore
                            || !context.hasSafeguard(
                                    ConsensusSafeguard.TRUNCATION_RESETS_DURABLE)) {
                        durableIndex = Math.max(durableIndex, lastIndex);
                        onDurableEntries.run();
                    }
                });
    }

    /** Writes the term and the vote. */
    void saveVote() {
        saveEntries(context.log.lastIndex() + 1, null);
        voteTicket = lastTicket;
    }

    /** Called when the entries after this index were removed from the log. */
    void onTruncated(long lastKeptIndex) {
        truncations++;
        if (context.hasSafeguard(ConsensusSafeguard.TRUNCATION_RESETS_DURABLE)) {
            durableIndex = Math.min(durableIndex, lastKeptIndex);
        }
    }

    /** Runs an action once all writes started so far are durable. */
    void whenDurable(Runnable action) {
        if (durableTicket >= lastTicket) {
            action.run();
        } else {
            pendingActions.add(new PendingAction(lastTicket, action));
        }
    }

    /** Called when all writes up to a ticket are durable; runs the actions waiting for them. */
    void onPersisted(long upToTicket) {
        durableTicket = Math.max(durableTicket, upToTicket);
        while (!pendingActions.isEmpty() && pendingActions.peek().ticket() <= durableTicket) {
            pendingActions.poll().action().run();
        }
    }

    /** The complete durable state under a new ticket, to be written after a disk failure. */
    LogWrite fullState() {
        Snapshot base = context.log.snapshot();
        return new LogWrite(
                ++lastTicket,
                context.self,
                context.term,
                context.votedFor,
                base.index() + 1,
                context.log.entriesFrom(base.index() + 1),
                base);
    }
}
