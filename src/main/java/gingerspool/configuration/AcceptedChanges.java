package gingerspool.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * What made each accepted version, as a digest, so that a change that is sent again is known. Kept
 * in blocks: when there are too many, the oldest block goes. The same changes in the same order
 * make the same blocks on every member. See docs/adr/0005-accepted-changes.md for the bound.
 */
final class AcceptedChanges {
    /** The most changes that are kept. */
    static final int CHANGES_MOST = 50_000;

    private static final int CHANGES_PER_BLOCK = 256;

    /** The first bytes of a SHA-256 are the digest. */
    private static final int DIGEST_BYTES = 16;

    private static final int RECORD_BYTES = Long.BYTES + DIGEST_BYTES;

    /** By the first version of each block: its records, version and digest, in order. */
    private final TreeMap<Long, byte[]> blocks = new TreeMap<>();

    private int count;

    /** The digest of a change: replace or modify, the version it was made on, and its body. */
    static byte[] digest(boolean whole, long on, byte[] body) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update((whole + " " + on + " ").getBytes(StandardCharsets.US_ASCII));
            return Arrays.copyOf(sha.digest(body), DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Whether this very change made this version. */
    boolean contains(long version, byte[] digest) {
        Map.Entry<Long, byte[]> block = blocks.floorEntry(version);
        if (block == null) {
            return false;
        }
        ByteBuffer records = ByteBuffer.wrap(block.getValue());
        byte[] found = new byte[DIGEST_BYTES];
        while (records.hasRemaining()) {
            long at = records.getLong();
            records.get(found);
            if (at == version) {
                return Arrays.equals(found, digest);
            }
        }
        return false;
    }

    /** Versions only go up. */
    void add(long version, byte[] digest) {
        Map.Entry<Long, byte[]> last = blocks.lastEntry();
        boolean fits = last != null && last.getValue().length < CHANGES_PER_BLOCK * RECORD_BYTES;
        byte[] block = fits ? last.getValue() : new byte[0];
        byte[] grown = Arrays.copyOf(block, block.length + RECORD_BYTES);
        ByteBuffer.wrap(grown, block.length, RECORD_BYTES).putLong(version).put(digest);
        blocks.put(fits ? last.getKey() : version, grown);
        count++;
        while (count > CHANGES_MOST) {
            count -= blocks.pollFirstEntry().getValue().length / RECORD_BYTES;
        }
    }

    int size() {
        return count;
    }

    /** The blocks as text, by their first version. */
    Map<String, String> blocks() {
        Map<String, String> all = new TreeMap<>();
        blocks.forEach(
                (first, records) ->
                        all.put(Long.toString(first), Base64.getEncoder().encodeToString(records)));
        return all;
    }

    /** What blocks() told elsewhere. */
    static AcceptedChanges of(Map<?, ?> blocks) throws InvalidConfigurationException {
        AcceptedChanges made = new AcceptedChanges();
        for (Map.Entry<?, ?> e : blocks.entrySet()) {
            try {
                byte[] records = Base64.getDecoder().decode((String) e.getValue());
                if (records.length == 0 || records.length % RECORD_BYTES != 0) {
                    throw new InvalidConfigurationException("a block of " + records.length);
                }
                made.blocks.put(Long.parseLong((String) e.getKey()), records);
                made.count += records.length / RECORD_BYTES;
            } catch (IllegalArgumentException | ClassCastException bad) {
                throw new InvalidConfigurationException("a block that can't be read: " + bad);
            }
        }
        return made;
    }

    /** What earlier builds kept: each version, and its whole digest in hexadecimal. */
    static AcceptedChanges ofEarlierForm(Map<?, ?> digests) {
        TreeMap<Long, byte[]> sorted = new TreeMap<>();
        digests.forEach(
                (version, digest) ->
                        sorted.put(
                                Long.parseLong((String) version),
                                Arrays.copyOf(
                                        HexFormat.of().parseHex((String) digest), DIGEST_BYTES)));
        AcceptedChanges made = new AcceptedChanges();
        sorted.forEach(made::add);
        return made;
    }
}
