package gingerspool.consensus;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Assembles one snapshot from its pieces. A new leader may continue the same snapshot; a newer
 * snapshot replaces it, and so does any other snapshot from the leader of a newer term. Memory is
 * allocated for the pieces received, not for the piece count that a message claims. Called by
 * {@link Follower}.
 */
final class SnapshotReceiver {
    private final ReplicaContext context;

    /** The first piece received of the current snapshot, or null if there is none. */
    private SnapshotPiece firstPiece;

    private long leaderTerm;
    private final Map<Integer, byte[]> pieces = new HashMap<>();

    /** The number of pieces received without a gap. */
    private int received;

    SnapshotReceiver(ReplicaContext context) {
        this.context = context;
    }

    /** Adds a piece. Returns the snapshot once it is complete and its digest matches, else null. */
    Snapshot add(long term, SnapshotPiece piece) {
        if (piece.pieces() < 1) {
            return null;
        }
        if (!isOfCurrentSnapshot(piece)) {
            boolean superseded =
                    firstPiece != null && term == leaderTerm && piece.index() <= firstPiece.index();
            if (superseded) {
                return null;
            }
            startSnapshot(piece);
        }
        leaderTerm = term;
        boolean isNumberValid = piece.number() >= 0 && piece.number() < firstPiece.pieces();
        if (isNumberValid && piece.bytes() != null) {
            pieces.put(piece.number(), piece.bytes());
        }
        while (pieces.containsKey(received)) {
            received++;
        }
        return received == firstPiece.pieces() ? complete() : null;
    }

    private boolean isOfCurrentSnapshot(SnapshotPiece piece) {
        return firstPiece != null
                && firstPiece.index() == piece.index()
                && firstPiece.snapshotTerm() == piece.snapshotTerm()
                && firstPiece.digest().equals(piece.digest())
                && firstPiece.pieces() == piece.pieces();
    }

    private void startSnapshot(SnapshotPiece piece) {
        firstPiece = piece;
        pieces.clear();
        received = 0;
    }

    /** The number of pieces of this piece's snapshot that were received without a gap. */
    int received(SnapshotPiece piece) {
        return isOfCurrentSnapshot(piece) ? received : 0;
    }

    private Snapshot complete() {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (int number = 0; number < received; number++) {
            joined.writeBytes(pieces.get(number));
        }
        byte[] state = joined.toByteArray();
        SnapshotPiece header = firstPiece;
        clear();
        boolean digestMatches = SnapshotDigest.of(state).equals(header.digest());
        if (!digestMatches && context.hasSafeguard(ConsensusSafeguard.SNAPSHOT_DIGEST_CHECKED)) {
            return null;
        }
        return new Snapshot(
                header.index(),
                header.snapshotTerm(),
                header.voters(),
                header.index() == 0 ? null : state);
    }

    private void clear() {
        firstPiece = null;
        pieces.clear();
        received = 0;
    }
}
