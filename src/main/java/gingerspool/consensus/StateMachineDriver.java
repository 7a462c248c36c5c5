package gingerspool.consensus;

/**
 * Applies committed entries to the state, in order, and puts snapshots of it in the place of
 * applied entries once these have grown (Raft, section 7).
 *
 * <p>Invariant: lastApplied is never beyond commitIndex, nor beyond the log.
 */
final class StateMachineDriver {
    /** The log is replaced by a snapshot once it is so many times as large as the last one. */
    private static final int SNAPSHOT_GROWTH_FACTOR = 2;

    private final ReplicaContext context;
    private final Durability durability;

    /** The size of the applied entries that no snapshot holds, in bytes. */
    private long appliedBytes;

    StateMachineDriver(ReplicaContext context, Durability durability) {
        this.context = context;
        this.durability = durability;
    }

    /** Applies what is committed, and makes a snapshot where one is due. */
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

    private long growthThresholdBytes() {
        byte[] state = context.log.snapshot().state();
        return state == null ? 0 : (long) SNAPSHOT_GROWTH_FACTOR * state.length;
    }

    /** Puts the applied state in the place of the applied entries. */
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
