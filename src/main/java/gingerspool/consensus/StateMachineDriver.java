package gingerspool.consensus;

/**
 * Applies committed entries to the state machine in order, and compacts the log by replacing
 * applied entries with a snapshot once they have grown large enough (Raft, section 7). Called by
 * {@link Replica}.
 *
 * <p>Invariant: lastApplied never exceeds commitIndex or the last index of the log.
 */
final class StateMachineDriver {
    /** A snapshot is due once the applied entries are this many times as large as the last one. */
    private static final int SNAPSHOT_GROWTH_FACTOR = 2;

    private final ReplicaContext context;
    private final Durability durability;

    /** The size of the applied entries that are not in a snapshot yet, in bytes. */
    private long appliedBytes;

    StateMachineDriver(ReplicaContext context, Durability durability) {
        this.context = context;
        this.durability = durability;
    }

    /** Applies all committed entries, and takes a snapshot if one is due. */
    void applyCommitted() {
        while (context.lastApplied < Math.min(context.commitIndex, context.log.lastIndex())) {
            context.lastApplied++;
            LogEntry entry = context.log.entry(context.lastApplied);
            appliedBytes += entry.sizeBytes();
            if (entry.command() != null) {
                context.environment.apply(context.lastApplied, entry.command());
            }
        }
        if (appliedBytes
                > Math.max(context.settings.snapshotThresholdBytes(), growthThresholdBytes())) {
            takeSnapshot();
        }
    }

    /** The size of applied entries, relative to the last snapshot, beyond which one is taken. */
    private long growthThresholdBytes() {
        byte[] state = context.log.snapshot().state();
        return state == null ? 0 : (long) SNAPSHOT_GROWTH_FACTOR * state.length;
    }

    /** Replaces the applied entries by a snapshot of the state, and writes it to disk. */
    void takeSnapshot() {
        RaftLog log = context.log;
        long index = context.lastApplied;
        log.compact(
                new Snapshot(
                        index,
                        log.termAt(index),
                        log.votersAt(index),
                        context.environment.snapshotState()));
        appliedBytes = 0;
        durability.saveEntries(index + 1, log.snapshot());
    }
}
