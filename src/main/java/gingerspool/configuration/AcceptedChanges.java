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
 * The digests of the changes that created the accepted versions, so that a change that is sent
 * again is recognized. They are kept in blocks; when there are too many, the oldest block is
 * removed. The same changes in the same order give the same blocks on every member. See
 * docs/adr/0005-accepted-changes.md for the bound.
 */
final class AcceptedChanges {
    /** The maximum number of changes that are kept. */
    static final int MAX_CHANGES = 50_000;

    private static final int CHANGES_PER_BLOCK = 256;

    /** The length of a digest, which is a truncated SHA-256 hash. */
    private static final int DIGEST_BYTES = 16;

    private static final int RECORD_BYTES = Long.BYTES + DIGEST_BYTES;

    /** The records (version and digest) of each block in order, by the first version in it. */
    private final TreeMap<Long, byte[]> blocksByFirstVersion = new TreeMap<>();

    private int count;

    /** The digest of a change: of its kind, the version that it was made for, and its body. */
    static byte[] digest(boolean isReplacement, long baseVersion, byte[] body) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(
                    (isReplacement + " " + baseVersion + " ").getBytes(StandardCharsets.US_ASCII));
            return Arrays.copyOf(sha256.digest(body), DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Whether the change with this digest created this version. */
    boolean contains(long version, byte[] digest) {
        Map.Entry<Long, byte[]> block = blocksByFirstVersion.floorEntry(version);
        if (block == null) {
            return false;
        }
        ByteBuffer records = ByteBuffer.wrap(block.getValue());
        byte[] recordDigest = new byte[DIGEST_BYTES];
        while (records.hasRemaining()) {
            long recordVersion = records.getLong();
            records.get(recordDigest);
            if (recordVersion == version) {
                return Arrays.equals(recordDigest, digest);
            }
        }
        return false;
    }

    /** Adds a change. Its version must be higher than all before. */
    void add(long version, byte[] digest) {
        Map.Entry<Long, byte[]> lastBlock = blocksByFirstVersion.lastEntry();
        boolean hasRoom =
                lastBlock != null && lastBlock.getValue().length < CHANGES_PER_BLOCK * RECORD_BYTES;
        byte[] block = hasRoom ? lastBlock.getValue() : new byte[0];
        byte[] extendedBlock = Arrays.copyOf(block, block.length + RECORD_BYTES);
        ByteBuffer.wrap(extendedBlock, block.length, RECORD_BYTES).putLong(version).put(digest);
        blocksByFirstVersion.put(hasRoom ? lastBlock.getKey() : version, extendedBlock);
        count++;
        while (count > MAX_CHANGES) {
            count -= blocksByFirstVersion.pollFirstEntry().getValue().length / RECORD_BYTES;
        }
    }

    /** The number of changes that are kept. */
    int size() {
        return count;
    }

    /** The blocks in Base64, by their first version. */
    Map<String, String> blocks() {
        Map<String, String> encodedBlocks = new TreeMap<>();
        blocksByFirstVersion.forEach(
                (first, records) ->
                        encodedBlocks.put(
                                Long.toString(first), Base64.getEncoder().encodeToString(records)));
        return encodedBlocks;
    }

    /** The inverse of blocks(). */
    static AcceptedChanges fromBlocks(Map<?, ?> blocks) throws InvalidConfigurationException {
        AcceptedChanges changes = new AcceptedChanges();
        for (Map.Entry<?, ?> block : blocks.entrySet()) {
            try {
                byte[] records = Base64.getDecoder().decode((String) block.getValue());
                if (records.length == 0 || records.length % RECORD_BYTES != 0) {
                    throw new InvalidConfigurationException(
                            "a block of accepted changes has an invalid length: " + records.length);
                }
                changes.blocksByFirstVersion.put(Long.parseLong((String) block.getKey()), records);
                changes.count += records.length / RECORD_BYTES;
            } catch (IllegalArgumentException | ClassCastException exception) {
                throw new InvalidConfigurationException(
                        "a block of accepted changes cannot be read: " + exception);
            }
        }
        return changes;
    }

    /** Reads the form of earlier builds: the complete hash in hexadecimal, by version. */
    static AcceptedChanges fromLegacyDigests(Map<?, ?> digests) {
        TreeMap<Long, byte[]> sorted = new TreeMap<>();
        digests.forEach(
                (version, digest) ->
                        sorted.put(
                                Long.parseLong((String) version),
                                Arrays.copyOf(
                                        HexFormat.of().parseHex((String) digest), DIGEST_BYTES)));
        AcceptedChanges changes = new AcceptedChanges();
        sorted.forEach(changes::add);
        return changes;
    }
}
