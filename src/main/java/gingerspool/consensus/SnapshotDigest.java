package gingerspool.consensus;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** The digest by which a snapshot that arrived in pieces is checked. */
final class SnapshotDigest {
    private static final byte[] EMPTY = {};

    private SnapshotDigest() {}

    static byte[] stateBytes(Snapshot snapshot) {
        return snapshot.state() == null ? EMPTY : snapshot.state();
    }

    /** SHA-256 of a state, in hexadecimal. */
    static String of(byte[] state) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(state));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
