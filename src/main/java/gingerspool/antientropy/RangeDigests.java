package gingerspool.antientropy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides a state, given as items by key, into ranges by the hash of the key, and computes a digest
 * of each range. Static functions for {@link ReplicaRepair} and its callers.
 */
public final class RangeDigests {
    public static final int RANGE_COUNT = 16;

    private RangeDigests() {}

    /** The range of a key. */
    public static int rangeOf(String key) {
        int hash = key.hashCode() * 0x9E3779B9;
        return hash >>> 28;
    }

    /** The sum of the items' digests in each range; copies that differ match only by chance. */
    public static List<Long> digests(Map<String, String> items) {
        long[] sums = new long[RANGE_COUNT];
        items.forEach(
                (key, value) ->
                        sums[rangeOf(key)] +=
                                digest((key + '\0' + value).getBytes(StandardCharsets.UTF_8)));
        return Arrays.stream(sums).boxed().toList();
    }

    /** The first eight bytes of the SHA-256 hash. */
    public static long digest(byte[] bytes) {
        try {
            return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes)).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** The items in these ranges; range r is bit r. */
    public static Map<String, String> items(Map<String, String> all, int ranges) {
        Map<String, String> selected = new TreeMap<>();
        all.forEach(
                (key, value) -> {
                    if ((ranges & 1 << rangeOf(key)) != 0) {
                        selected.put(key, value);
                    }
                });
        return selected;
    }

    /**
     * All items, with those in these ranges replaced; replacements outside the ranges are ignored.
     */
    public static Map<String, String> withRangesReplaced(
            Map<String, String> all, int ranges, Map<String, String> replacements) {
        Map<String, String> result = new TreeMap<>(all);
        result.keySet().removeIf(key -> (ranges & 1 << rangeOf(key)) != 0);
        result.putAll(items(replacements, ranges));
        return result;
    }
}
