package gingerspool.consensus;

import java.util.Arrays;
import java.util.function.IntConsumer;

/** A snapshot on its way to one follower, in numbered pieces, some of them in flight at a time. */
final class SnapshotSender {
    /** Pieces in flight. */
    private static final int WINDOW = 4;

    final Snapshot snapshot;
    private final String digest;
    private final int pieceBytes;
    private final int pieces;
    private int acknowledged;
    private int sent;
    private boolean progressed = true;

    SnapshotSender(Snapshot snapshot, String digest, int pieceBytes) {
        this.snapshot = snapshot;
        this.digest = digest;
        this.pieceBytes = pieceBytes;
        pieces = Math.max(1, (SnapshotDigest.bytes(snapshot).length + pieceBytes - 1) / pieceBytes);
    }

    /**
     * Sends what the window allows. A heartbeat sends one piece at least, and begins anew after
     * what was acknowledged if nothing has been since the last one.
     */
    void send(boolean heartbeat, IntConsumer send) {
        if (heartbeat && !progressed) {
            sent = acknowledged;
        }
        int before = sent;
        while (sent < Math.min(pieces, acknowledged + WINDOW)) {
            send.accept(sent++);
        }
        if (heartbeat) {
            progressed = false;
            if (sent == before) {
                send.accept(Math.min(acknowledged, pieces - 1));
            }
        }
    }

    SnapshotPiece piece(int number) {
        byte[] state = SnapshotDigest.bytes(snapshot);
        int from = number * pieceBytes;
        byte[] bytes = Arrays.copyOfRange(state, from, Math.min(state.length, from + pieceBytes));
        return new SnapshotPiece(
                snapshot.index(),
                snapshot.term(),
                snapshot.voters(),
                digest,
                pieces,
                number,
                bytes);
    }

    /** Whether the answer is to this snapshot. */
    boolean isAnsweredBy(ConsensusMessage.SnapshotReply reply) {
        return reply.index() == snapshot.index() && reply.digest().equals(digest);
    }

    /** The receiver has so many pieces; true once it has all. */
    boolean received(int number) {
        progressed |= number != acknowledged;
        acknowledged = Math.min(pieces, Math.max(0, number));
        sent = Math.max(sent, acknowledged);
        return acknowledged == pieces;
    }
}
