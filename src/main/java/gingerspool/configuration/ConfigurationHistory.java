package gingerspool.configuration;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The newest configuration and the versions before it, from which it can be told as a delta. Holds
 * a bounded number of versions; those that were made by changes share their items. For one thread.
 */
public final class ConfigurationHistory {
    /** A process that has missed more versions than these is sent a complete copy. */
    private static final int MAX_EARLIER_VERSIONS = 128;

    /** Oldest first. */
    private final Map<Long, Configuration> earlierVersions = new LinkedHashMap<>();

    /** Deltas to the newest version by their base, encoded; empty where a copy is smaller. */
    private final Map<Long, Optional<byte[]>> deltasByBaseVersion = new LinkedHashMap<>();

    private Configuration newest = Configuration.getDefaultInstance();
    private byte[] encodedNewest = new byte[0];
    private long checksum;

    /** A version took effect; one that is no higher than the last makes all before it void. */
    public void add(Configuration configuration) {
        deltasByBaseVersion.clear();
        if (configuration.getVersion() <= newest.getVersion()) {
            earlierVersions.clear();
        } else if (newest.getVersion() > 0) {
            earlierVersions.put(newest.getVersion(), newest);
            removeOldestVersions();
        }
        newest = configuration;
        encodedNewest = configuration.toByteArray();
        checksum = ConfigurationChecksum.of(configuration);
    }

    private void removeOldestVersions() {
        Iterator<Long> versions = earlierVersions.keySet().iterator();
        while (earlierVersions.size() > MAX_EARLIER_VERSIONS) {
            versions.next();
            versions.remove();
        }
    }

    /** The newest version; 0 if there is none yet. */
    public long version() {
        return newest.getVersion();
    }

    /** The checksum of the newest version, as it was when it took effect. */
    public long checksum() {
        return checksum;
    }

    /** The newest version, complete, as it was when it took effect. The caller must not write. */
    public byte[] copy() {
        return encodedNewest;
    }

    /**
     * The delta from a version to the newest; empty where that version is not known any more, or a
     * complete copy is no larger. The caller must not write to it.
     */
    public Optional<byte[]> deltaFrom(long version) {
        return deltasByBaseVersion.computeIfAbsent(version, this::encodeDelta);
    }

    private Optional<byte[]> encodeDelta(long version) {
        Configuration base = earlierVersions.get(version);
        if (base == null) {
            return Optional.empty();
        }
        byte[] delta = ConfigurationDelta.between(base, newest, checksum).toByteArray();
        return delta.length < encodedNewest.length ? Optional.of(delta) : Optional.empty();
    }
}
