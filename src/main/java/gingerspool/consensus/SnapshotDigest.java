package gingerspool.consensus;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The digest by which the receiver checks a snapshot that was transferred in pieces. */
final class SnapshotDigest {
    private static final byte[] EMPTY = {};

    private SnapshotDigest() {}

    /** The state of a snapshot; empty if the snapshot has none. */
    static byte[] stateBytes(Snapshot snapshot) {
        return snapshot.state() == null ? EMPTY : snapshot.state();
    }

    /** The SHA-256 digest of a state, in hexadecimal. */
    static String of(byte[] state) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(state));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
