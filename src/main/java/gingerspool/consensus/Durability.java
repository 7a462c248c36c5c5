package gingerspool.consensus;

import java.util.ArrayDeque;

/** Which writes of this replica are durable, and what waits for one to be. */
final class Durability {
    private record Waiting(long ticket, Runnable then) {}

    private final ReplicaContext context;
    private final Runnable onDurableEntries;
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private long ticket;
    private long savedTicket;
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

    boolean voteIsDurable() {
        return savedTicket >= voteTicket;
    }

    /** Writes the entries from an index on, and a new snapshot where that is not null. */
    void saveEntries(long from, Snapshot snapshot) {
        context.environment.persist(
                new LogWrite(
                        ++ticket,
                        context.self,
                        context.term,
                        context.votedFor,
                        from,
                        context.log.from(from),
                        snapshot));
        long upTo = context.log.lastIndex();
        long before = truncations;
        whenSaved(
                () -> {
                    if (truncations == before
                            || !context.hasSafeguard(
                                    ConsensusSafeguard.TRUNCATION_RESETS_DURABLE)) {
                        durableIndex = Math.max(durableIndex, upTo);
                        onDurableEntries.run();
                    }
                });
    }

    /** Writes the term and the vote. */
    void saveVote() {
        saveEntries(context.log.lastIndex() + 1, null);
        voteTicket = ticket;
    }

    /** Entries beyond this index were removed. */
    void truncated(long lastKept) {
        truncations++;
        if (context.hasSafeguard(ConsensusSafeguard.TRUNCATION_RESETS_DURABLE)) {
            durableIndex = Math.min(durableIndex, lastKept);
        }
    }

    /** Runs this once all that was written until now is durable. */
    void whenSaved(Runnable then) {
        if (savedTicket >= ticket) {
            then.run();
        } else {
            waiting.add(new Waiting(ticket, then));
        }
    }

    /** All writes up to a ticket are durable. */
    void persisted(long upTo) {
        savedTicket = Math.max(savedTicket, upTo);
        while (!waiting.isEmpty() && waiting.peek().ticket() <= savedTicket) {
            waiting.poll().then().run();
        }
    }

    /** Everything, to be written anew after a failure, under a new ticket. */
    LogWrite fullState() {
        Snapshot base = context.log.snapshot();
        return new LogWrite(
                ++ticket,
                context.self,
                context.term,
                context.votedFor,
                base.index() + 1,
                context.log.from(base.index() + 1),
                base);
    }
}
