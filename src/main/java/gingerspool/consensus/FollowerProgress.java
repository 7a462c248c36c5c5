package gingerspool.consensus;

import java.util.ArrayDeque;
import java.util.List;

/** What the leader knows of a follower or learner: what it has, and what is on its way to it. */
final class FollowerProgress {
    /** Bounds of what is on its way to one follower, in entries and in bytes. */
    private static final int MAX_ENTRIES_IN_FLIGHT = 1024;

    private static final long MAX_BYTES_IN_FLIGHT = 1 << 20;

    private record Batch(long lastIndex, int entries, long bytes) {}

    /** The next entry to send. */
    long nextIndex;

    /** Up to here its log is durable and matches ours. */
    long matchIndex;

    /** Whether it is being found out where its log matches: then one message goes at a time. */
    boolean probing;

    /** When the newest heartbeat that it answered, with a durable vote, was sent. */
    double leaseStartAt = Double.NEGATIVE_INFINITY;

    /** When it last answered, or when it was first known. */
    double lastReplyAt;

    /** Whether it has answered in this term. */
    boolean answered;

    /** When it last said that it is about to leave. */
    double leaveRequestedAt = Double.NEGATIVE_INFINITY;

    /** The snapshot that it is sent, or null. */
    SnapshotSender snapshotSender;

    private final ArrayDeque<Batch> inFlight = new ArrayDeque<>();
    private int entriesInFlight;
    private long bytesInFlight;

    FollowerProgress(long nextIndex, double now) {
        this.nextIndex = nextIndex;
        lastReplyAt = now;
    }

    boolean hasCapacity() {
        return entriesInFlight < MAX_ENTRIES_IN_FLIGHT && bytesInFlight < MAX_BYTES_IN_FLIGHT;
    }

    void recordSent(List<LogEntry> batch) {
        long bytes = batch.stream().mapToLong(LogEntry::sizeBytes).sum();
        nextIndex += batch.size();
        if (!batch.isEmpty()) {
            inFlight.add(new Batch(nextIndex - 1, batch.size(), bytes));
            entriesInFlight += batch.size();
            bytesInFlight += bytes;
        }
    }

    /** All up to here has arrived and matches. */
    void recordMatched(long index) {
        matchIndex = Math.max(matchIndex, index);
        probing = false;
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlight.isEmpty() && inFlight.peek().lastIndex() <= matchIndex) {
            Batch acknowledged = inFlight.poll();
            entriesInFlight -= acknowledged.entries();
            bytesInFlight -= acknowledged.bytes();
        }
    }

    /** What is on its way is lost or does not fit: goes on from this index, 0 for a snapshot. */
    void restartFrom(long index) {
        nextIndex = index == 0 ? 0 : Math.max(matchIndex + 1, index);
        probing = false;
        inFlight.clear();
        entriesInFlight = 0;
        bytesInFlight = 0;
    }
}
