package gingerspool.consensus;

import java.util.List;
import java.util.Set;

/**
 * What a replica is told at its start.
 *
 * @param tolerated how many members may be lost at once
 * @param lease the length of the leader's lease, in milliseconds
 * @param seeds addresses of machines that may know the members; they may be stale
 * @param randomSeed what the random part of timeouts is drawn from
 * @param snapshotFloor the least size of the log, in bytes, that a snapshot replaces
 * @param pieceBytes the most bytes of a snapshot that one message carries
 * @param disabled safeguards that a test takes out; none in production
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

    /** Settings of a production replica. */
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
