package gingerspool.consensus;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Collects the pieces of one snapshot. The same snapshot may go on from another leader; a newer one
 * takes its place, and so does any that the leader of a newer term sends. Memory is taken by pieces
 * that came, not by the count that a message names.
 */
final class SnapshotReceiver {
    private final ReplicaContext context;
    private SnapshotPiece first;
    private long leaderTerm;
    private final Map<Integer, byte[]> pieces = new HashMap<>();
    private int received;

    SnapshotReceiver(ReplicaContext context) {
        this.context = context;
    }

    /** Takes a piece; the snapshot once all are there and the digest is right, else null. */
    Snapshot take(long term, SnapshotPiece piece) {
        if (piece.pieces() < 1) {
            return null;
        }
        if (!isOf(piece)) {
            boolean superseded =
                    first != null && term == leaderTerm && piece.index() <= first.index();
            if (superseded) {
                return null;
            }
            begin(piece);
        }
        leaderTerm = term;
        boolean isOneOfThem = piece.number() >= 0 && piece.number() < first.pieces();
        if (isOneOfThem && piece.bytes() != null) {
            pieces.put(piece.number(), piece.bytes());
        }
        while (pieces.containsKey(received)) {
            received++;
        }
        return received == first.pieces() ? complete() : null;
    }

    private boolean isOf(SnapshotPiece piece) {
        return first != null
                && first.index() == piece.index()
                && first.snapshotTerm() == piece.snapshotTerm()
                && first.digest().equals(piece.digest())
                && first.pieces() == piece.pieces();
    }

    private void begin(SnapshotPiece piece) {
        first = piece;
        pieces.clear();
        received = 0;
    }

    /** How many pieces of this snapshot are there without a gap. */
    int received(SnapshotPiece piece) {
        return isOf(piece) ? received : 0;
    }

    private Snapshot complete() {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int number = 0; number < received; number++) {
            all.writeBytes(pieces.get(number));
        }
        byte[] state = all.toByteArray();
        SnapshotPiece of = first;
        forget();
        boolean right = SnapshotDigest.of(state).equals(of.digest());
        if (!right && context.hasSafeguard(ConsensusSafeguard.SNAPSHOT_DIGEST_CHECKED)) {
            return null;
        }
        return new Snapshot(
                of.index(), of.snapshotTerm(), of.voters(), of.index() == 0 ? null : state);
    }

    private void forget() {
        first = null;
        pieces.clear();
        received = 0;
    }
}
