package gingerspool.consensus;

import java.util.ArrayDeque;

/** Which writes of this replica are durable, and what waits for one to be. */
final class Durability {
    private record PendingAction(long ticket, Runnable action) {}

    private final ReplicaContext context;
    private final Runnable onDurableEntries;
    private final ArrayDeque<PendingAction> pendingActions = new ArrayDeque<>();
    private long lastTicket;
    private long durableTicket;
    private long voteTicket;
    private long durableIndex;

    /** Counts truncations: writes from before one say nothing of the entries after it. */
    private long truncations;

    Durability(ReplicaContext context, long durableIndex, Runnable onDurableEntries) {
        this.context = context;
        this.durableIndex = durableIndex;
        this.onDurableEntries = onDurableEntries;
    }

    /** Up to here the log's entries are durable. */
    long durableIndex() {
        return context.hasSafeguard(ConsensusSafeguard.SYNC_BEFORE_ACKNOWLEDGE)
                ? durableIndex
                : context.log.lastIndex();
    }

    boolean isVoteDurable() {
        return durableTicket >= voteTicket;
    }

    /** Writes the entries from an index on, and a new snapshot where that is not null. */
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

    /** Entries beyond this index were removed. */
    void onTruncated(long lastKeptIndex) {
        truncations++;
        if (context.hasSafeguard(ConsensusSafeguard.TRUNCATION_RESETS_DURABLE)) {
            durableIndex = Math.min(durableIndex, lastKeptIndex);
        }
    }

    /** Runs this once all that was written until now is durable. */
    void whenDurable(Runnable action) {
        if (durableTicket >= lastTicket) {
            action.run();
        } else {
            pendingActions.add(new PendingAction(lastTicket, action));
        }
    }

    /** All writes up to a ticket are durable. */
    void onPersisted(long upToTicket) {
        durableTicket = Math.max(durableTicket, upToTicket);
        while (!pendingActions.isEmpty() && pendingActions.peek().ticket() <= durableTicket) {
            pendingActions.poll().action().run();
        }
    }

    /** Everything, to be written anew after a failure, under a new ticket. */
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
