package gingerspool.consensus;

import java.util.List;

/**
 * One atomic write to the durable log.
 *
 * @param ticket the number of the write, which increases by one with each write
 * @param self the member that the log belongs to
 * @param term the current term
 * @param votedFor the vote in that term, or null
 * @param fromIndex the index of the first entry written; replaces everything stored from there on
 * @param entries all log entries from that index on
 * @param snapshot a new snapshot, or null to keep the stored one
 */
public record LogWrite(
        long ticket,
        Member self,
        long term,
        Member votedFor,
        long fromIndex,
        List<LogEntry> entries,
        Snapshot snapshot) {}
