package gingerspool.consensus;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The leader's view of the progress of one follower or learner: what its log holds, and what is in
 * flight to it. Updated by {@link Replication}; times are in milliseconds.
 */
final class FollowerProgress {
    /** The most entries in flight to one follower. */
    private static final int MAX_ENTRIES_IN_FLIGHT = 1024;

    /** The number of bytes in flight to one follower beyond which nothing more is sent. */
    private static final long MAX_BYTES_IN_FLIGHT = 1 << 20;

    /** The entries of one message in flight. */
    private record Batch(long lastIndex, int entries, long bytes) {}

    /** The index of the next entry to send. */
    long nextIndex;

    /** The index up to which the follower's log is durable and matches ours. */
    long matchIndex;

    /** Whether the matching index is being probed; only one message is sent at a time then. */
    boolean probing;

    /** The send time of the newest heartbeat that it acknowledged with a durable vote. */
    double leaseStartAt = Double.NEGATIVE_INFINITY;

    /** When it last answered, or when it was added if it has not answered yet. */
    double lastReplyAt;

    /** Whether it has answered in this term, and since its removal from the voters if any. */
    boolean answered;

    /** When it last asked to leave. */
    double leaveRequestedAt = Double.NEGATIVE_INFINITY;

    /** The snapshot transfer to it, or null if there is none. */
    SnapshotSender snapshotSender;

    private final ArrayDeque<Batch> inFlight = new ArrayDeque<>();
    private int entriesInFlight;
    private long bytesInFlight;

    FollowerProgress(long nextIndex, double now) {
        this.nextIndex = nextIndex;
        lastReplyAt = now;
    }

    /** Whether more may be sent within the limits for data in flight. */
    boolean hasCapacity() {
        return entriesInFlight < MAX_ENTRIES_IN_FLIGHT && bytesInFlight < MAX_BYTES_IN_FLIGHT;
    }

    /** Records that these entries, the next ones to send, are in flight. */
    void recordSent(List<LogEntry> batch) {
        long bytes = batch.stream().mapToLong(LogEntry::sizeBytes).sum();
        nextIndex += batch.size();
        if (!batch.isEmpty()) {
            inFlight.add(new Batch(nextIndex - 1, batch.size(), bytes));
            entriesInFlight += batch.size();
            bytesInFlight += bytes;
        }
    }

    /** Records that the follower's log matches and is durable up to this index. */
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

    /**
     * Discards what is in flight, which was lost or rejected, and resumes from this index; 0 makes
     * the leader send a snapshot.
     */
    void restartFrom(long index) {
        nextIndex = index == 0 ? 0 : Math.max(matchIndex + 1, index);
        probing = false;
        inFlight.clear();
        entriesInFlight = 0;
        bytesInFlight = 0;
    }
}
