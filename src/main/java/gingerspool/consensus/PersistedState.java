package gingerspool.consensus;

import java.util.List;

/**
 * The state recovered from the durable log at the start of a replica.
 *
 * @param self the member that the log belongs to
 * @param term the last term written
 * @param votedFor the vote in that term, or null
 * @param snapshot the last snapshot
 * @param entries the entries after the snapshot
 */
public record PersistedState(
        Member self, long term, Member votedFor, Snapshot snapshot, List<LogEntry> entries) {}
