package gingerspool.consensus;

import java.util.List;

/**
 * One atomic write to the durable log: the member, its term and vote (null: none), all log entries
 * from an index on, and a new snapshot where that is not null. Tickets count up.
 */
public record LogWrite(
        long ticket,
        Member self,
        long term,
        Member votedFor,
        long from,
        List<LogEntry> entries,
        Snapshot snapshot) {}
