package gingerspool.consensus;

import java.util.Arrays;
import java.util.function.IntConsumer;

/** A snapshot on its way to one follower, in numbered pieces, some of them in flight at a time. */
final class SnapshotSender {
    /** Pieces in flight. */
    private static final int MAX_PIECES_IN_FLIGHT = 4;

    final Snapshot snapshot;
    private final String digest;
    private final int maxPieceBytes;
    private final int pieceCount;
    private int acknowledged;
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
     * Sends what the window allows. A heartbeat sends one piece at least, and begins anew after
     * what was acknowledged if nothing has been since the last one.
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

    /** Whether the answer is to this snapshot. */
    boolean matches(ConsensusMessage.SnapshotReply reply) {
        return reply.index() == snapshot.index() && reply.digest().equals(digest);
    }

    /** The receiver has so many pieces; true once it has all. */
    boolean onAcknowledged(int count) {
        progressedSinceHeartbeat |= count != acknowledged;
        acknowledged = Math.min(pieceCount, Math.max(0, count));
        nextPiece = Math.max(nextPiece, acknowledged);
        return acknowledged == pieceCount;
    }
}
