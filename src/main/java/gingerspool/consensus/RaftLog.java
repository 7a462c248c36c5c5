package gingerspool.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The log in memory: a snapshot, the entries after it, and where among them the voters change. */
final class RaftLog {
    private Snapshot snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private final TreeMap<Long, VoterSet> voterChanges = new TreeMap<>();
    private long sizeBytes;

    RaftLog(Snapshot snapshot, List<LogEntry> entries) {
        this.snapshot = snapshot;
        entries.forEach(this::append);
    }

    Snapshot snapshot() {
        return snapshot;
    }

    /** The size of the entries after the snapshot, about, in bytes. */
    long bytes() {
        return sizeBytes;
    }

    /** The index of the last entry. */
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

    private int offset(long index) {
        return (int) (index - snapshot.index() - 1);
    }

    /** Whether the log has an entry of this term there, or had one within its snapshot. */
    boolean matches(long index, long term) {
        return index <= lastIndex() && (index < snapshot.index() || termAt(index) == term);
    }

    /** All entries from an index on. */
    List<LogEntry> entriesFrom(long index) {
        return index > lastIndex()
                ? List.of()
                : List.copyOf(entries.subList(offset(index), entries.size()));
    }

    /** Entries from an index on, at least one if there is any, up to a number and a size. */
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

    /** The first index after the snapshot from which on up to this one all have its term. */
    long firstIndexOfTermAt(long index) {
        long first = index;
        while (first - 1 > snapshot.index() && termAt(first - 1) == termAt(index)) {
            first--;
        }
        return first;
    }

    /** The last index not beyond this one whose term is not above that. */
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

    /** Removes all entries from an index on. */
    void truncate(long index) {
        entries.subList(offset(index), entries.size()).clear();
        voterChanges.tailMap(index, true).clear();
        recomputeSize();
    }

    /** Replaces all entries up to the snapshot's by it, and keeps those after. */
    void compact(Snapshot newSnapshot) {
        entries.subList(0, offset(newSnapshot.index()) + 1).clear();
        snapshot = newSnapshot;
        voterChanges.headMap(newSnapshot.index(), true).clear();
        recomputeSize();
    }

    /** Replaces everything by a snapshot. */
    void reset(Snapshot newSnapshot) {
        snapshot = newSnapshot;
        entries.clear();
        voterChanges.clear();
        sizeBytes = 0;
    }

    private void recomputeSize() {
        sizeBytes = entries.stream().mapToLong(LogEntry::sizeBytes).sum();
    }

    /** The voters by the newest entry, committed or not: these are in force. */
    VoterSet voters() {
        return voterChanges.isEmpty() ? snapshot.voters() : voterChanges.lastEntry().getValue();
    }

    /** The index of the entry that made these the voters. */
    long votersIndex() {
        return voterChanges.isEmpty() ? snapshot.index() : voterChanges.lastKey();
    }

    /** The voters once this index was appended. */
    VoterSet votersAt(long index) {
        Map.Entry<Long, VoterSet> change = voterChanges.floorEntry(index);
        return change == null ? snapshot.voters() : change.getValue();
    }

    /** The voters by the entries after an index. */
    Collection<VoterSet> votersAfter(long index) {
        return voterChanges.tailMap(index, false).values();
    }
}
