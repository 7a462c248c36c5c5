package gingerspool.consensus;

import java.util.List;
import java.util.Set;

/**
 * The settings of a replica, fixed when it is created.
 *
 * @param toleratedLosses the number of members that may be lost at once without losing data
 * @param leaseMs the length of the leader's lease, in milliseconds
 * @param seedAddresses addresses of machines that may know the members; they may be stale
 * @param randomSeed the seed for the random part of timeouts
 * @param snapshotThresholdBytes the size of applied entries, in bytes, below which no snapshot is
 *     taken
 * @param maxPieceBytes the most bytes of a snapshot in one message
 * @param disabledSafeguards safeguards that a test disables; none in production
 */
public record ReplicaSettings(
        int toleratedLosses,
        double leaseMs,
        List<String> seedAddresses,
        long randomSeed,
        int snapshotThresholdBytes,
        int maxPieceBytes,
        Set<ConsensusSafeguard> disabledSafeguards) {
    private static final int DEFAULT_SNAPSHOT_THRESHOLD_BYTES = 1 << 20;
    private static final int DEFAULT_MAX_PIECE_BYTES = 1 << 16;

    /** The settings of a production replica. */
    public ReplicaSettings(
            int toleratedLosses, double leaseMs, List<String> seedAddresses, long randomSeed) {
        this(
                toleratedLosses,
                leaseMs,
                seedAddresses,
                randomSeed,
                DEFAULT_SNAPSHOT_THRESHOLD_BYTES,
                DEFAULT_MAX_PIECE_BYTES,
                Set.of());
    }

    boolean hasSafeguard(ConsensusSafeguard safeguard) {
        return !disabledSafeguards.contains(safeguard);
    }
}
