package gingerspool.configuration;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The newest configuration and a bounded number of versions before it, for which deltas to the
 * newest can be computed. Versions that were created by changes share their unchanged items. Owned
 * by the configuration publisher, for one thread.
 */
public final class ConfigurationHistory {
    /** The number of earlier versions kept. Schedulers with older ones are sent a complete copy. */
    private static final int MAX_EARLIER_VERSIONS = 128;

    /** By version, oldest first. */
    private final Map<Long, Configuration> earlierVersions = new LinkedHashMap<>();

    /** The encoded deltas to the newest version, by base version; empty if there is none to use. */
    private final Map<Long, Optional<byte[]>> deltasByBaseVersion = new LinkedHashMap<>();

    private Configuration newest = Configuration.getDefaultInstance();
    private byte[] encodedNewest = new byte[0];
    private long checksum;

    /**
     * Adds a version that took effect. A version that is not higher than the newest one means that
     * the state went back, so all earlier versions are dropped.
     */
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

    /** The checksum of the newest version, computed when it took effect. */
    public long checksum() {
        return checksum;
    }

    /** The complete newest version, encoded when it took effect. Must not be modified. */
    public byte[] copy() {
        return encodedNewest;
    }

    /**
     * The encoded delta from a version to the newest one. Empty if that version is not kept, or if
     * a complete copy is not larger. Must not be modified.
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
