package gingerspool.consensus;

import java.util.List;

/** What the durable log held: the member, its term and vote, its snapshot and the entries after. */
public record PersistedState(
        Member self, long term, Member votedFor, Snapshot snapshot, List<LogEntry> entries) {}
