package gingerspool.consensus;

import java.util.Arrays;
import java.util.function.IntConsumer;

/**
 * The transfer of a snapshot to one follower in numbered pieces, with a limited number of them in
 * flight. Called by {@link Replication}.
 */
final class SnapshotSender {
    /** The most pieces in flight. */
    private static final int MAX_PIECES_IN_FLIGHT = 4;

    final Snapshot snapshot;
    private final String digest;
    private final int maxPieceBytes;
    private final int pieceCount;

    /** The number of pieces that the follower has received without a gap. */
    private int acknowledged;

    /** The number of the next piece to send. */
    private int nextPiece;

    private boolean progressedSinceHeartbeat = true;

    SnapshotSender(Snapshot snapshot, String digest, int maxPieceBytes) {
        this.snapshot = snapshot;
        this.digest = digest;
        this.maxPieceBytes = maxPieceBytes;
        pieceCount =
                Math.max(
                        1,
                        (SnapshotDigest.stateBytes(snapshot).length + maxPieceBytes - 1)
                                / maxPieceBytes);
    }

    /**
     * Sends as many pieces as may be in flight. On a heartbeat at least one piece is sent, and if
     * none was acknowledged since the last heartbeat, the unacknowledged pieces are sent again.
     */
    void send(boolean heartbeat, IntConsumer sendPiece) {
        if (heartbeat && !progressedSinceHeartbeat) {
            nextPiece = acknowledged;
        }
        int nextPieceBefore = nextPiece;
        while (nextPiece < Math.min(pieceCount, acknowledged + MAX_PIECES_IN_FLIGHT)) {
            sendPiece.accept(nextPiece++);
        }
        if (heartbeat) {
            progressedSinceHeartbeat = false;
            if (nextPiece == nextPieceBefore) {
                sendPiece.accept(Math.min(acknowledged, pieceCount - 1));
            }
        }
    }

    /** The piece with this number, from 0. */
    SnapshotPiece piece(int number) {
        byte[] state = SnapshotDigest.stateBytes(snapshot);
        int offset = number * maxPieceBytes;
        byte[] bytes =
                Arrays.copyOfRange(state, offset, Math.min(state.length, offset + maxPieceBytes));
        return new SnapshotPiece(
                snapshot.index(),
                snapshot.term(),
                snapshot.voters(),
                digest,
                pieceCount,
                number,
                bytes);
    }

    /** Whether a reply belongs to this snapshot. */
    boolean matches(ConsensusMessage.SnapshotReply reply) {
        return reply.index() == snapshot.index() && reply.digest().equals(digest);
    }

    /** Records the number of pieces that the follower has; returns whether it has all of them. */
    boolean onAcknowledged(int count) {
        progressedSinceHeartbeat |= count != acknowledged;
        acknowledged = Math.min(pieceCount, Math.max(0, count));
        nextPiece = Math.max(nextPiece, acknowledged);
        return acknowledged == pieceCount;
    }
}
