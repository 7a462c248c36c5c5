package gingerspool.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The in-memory log: the latest snapshot, the entries after it, and an index of the entries that
 * change the voters. Indexes start at 1; index 0 is the empty log. Owned by {@link ReplicaContext}.
 */
final class RaftLog {
    private Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, VoterSet> voterChanges = new TreeMap<>();

    /** The approximate size of the entries after the snapshot. */
    private long sizeBytes;

    RaftLog(Snapshot snapshot, List<LogEntry> entries) {
        this.snapshot = snapshot;
        entries.forEach(this::append);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** The approximate size of the entries after the snapshot, in bytes. */
    long bytes() {
        return sizeBytes;
    }

    /** The index of the last entry, or of the snapshot if there are no entries after it. */
    long lastIndex() {
        return snapshot.index() + entries.size();
    }

    long lastTerm() {
        return termAt(lastIndex());
    }

    long termAt(long index) {
        return index == snapshot.index() ? snapshot.term() : entry(index).term();
    }

    LogEntry entry(long index) {
        return entries.get(offset(index));
    }

    /** The position in the list of the entry with an index. */
    private int offset(long index) {
        return (int) (index - snapshot.index() - 1);
    }

    /**
     * Whether the entry at this index has this term. Always true before the snapshot's index, where
     * all entries were committed.
     */
    boolean matches(long index, long term) {
        return index <= lastIndex() && (index < snapshot.index() || termAt(index) == term);
    }

    /** All entries from this index on. */
    List<LogEntry> entriesFrom(long index) {
        return index > lastIndex()
                ? List.of()
                : List.copyOf(entries.subList(offset(index), entries.size()));
    }

    /**
     * The entries from an index on, limited by their number and size in bytes. Contains at least
     * one entry if there is any, even if that exceeds the size.
     */
    List<LogEntry> batch(long index, int maxEntries, long maxBytes) {
        List<LogEntry> batch = new ArrayList<>();
        long size = 0;
        for (long i = index; i <= lastIndex() && batch.size() < maxEntries; i++) {
            size += entry(i).sizeBytes();
            if (size > maxBytes && !batch.isEmpty()) {
                break;
            }
            batch.add(entry(i));
        }
        return batch;
    }

    /** The first index after the snapshot of the run of entries with the term at this index. */
    long firstIndexOfTermAt(long index) {
        long first = index;
        while (first - 1 > snapshot.index() && termAt(first - 1) == termAt(index)) {
            first--;
        }
        return first;
    }

    /** The last index at or before this one whose term is at most the given term. */
    long lastIndexUpToTerm(long index, long term) {
        long found = Math.min(index, lastIndex());
        while (found > snapshot.index() && termAt(found) > term) {
            found--;
        }
        return found;
    }

    void append(LogEntry entry) {
        entries.add(entry);
        sizeBytes += entry.sizeBytes();
        if (entry.voters() != null) {
            voterChanges.put(lastIndex(), entry.voters());
        }
    }

    /** Removes all entries from this index on. */
    void truncate(long index) {
        entries.subList(offset(index), entries.size()).clear();
        voterChanges.tailMap(index, true).clear();
        recomputeSize();
    }

    /** Replaces all entries up to the snapshot's index by the snapshot; keeps those after it. */
    void compact(Snapshot newSnapshot) {
        entries.subList(0, offset(newSnapshot.index()) + 1).clear();
        snapshot = newSnapshot;
        voterChanges.headMap(newSnapshot.index(), true).clear();
        recomputeSize();
    }

    /** Replaces the whole log by a snapshot. */
    void reset(Snapshot newSnapshot) {
        snapshot = newSnapshot;
        entries.clear();
        voterChanges.clear();
        sizeBytes = 0;
    }

    private void recomputeSize() {
        sizeBytes = entries.stream().mapToLong(LogEntry::sizeBytes).sum();
    }

    /** The voters in force: those of the newest entry that sets them, committed or not. */
    VoterSet voters() {
        return voterChanges.isEmpty() ? snapshot.voters() : voterChanges.lastEntry().getValue();
    }

    /** The index of the entry that set the voters in force, or of the snapshot. */
    long votersIndex() {
        return voterChanges.isEmpty() ? snapshot.index() : voterChanges.lastKey();
    }

    /** The voters in force after the entry at this index was appended. */
    VoterSet votersAt(long index) {
        Map.Entry<Long, VoterSet> change = voterChanges.floorEntry(index);
        return change == null ? snapshot.voters() : change.getValue();
    }

    /** The voter sets of all entries after this index. */
    Collection<VoterSet> votersAfter(long index) {
        return voterChanges.tailMap(index, false).values();
    }
}
