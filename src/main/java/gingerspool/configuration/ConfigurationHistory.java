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
    private static final int EARLIER_VERSIONS = 128;

    /** Oldest first. */
    private final Map<Long, Configuration> earlier = new LinkedHashMap<>();

    /** Deltas to the newest version by their base, encoded; empty where a copy is smaller. */
    private final Map<Long, Optional<byte[]>> deltas = new LinkedHashMap<>();

    private Configuration newest = Configuration.getDefaultInstance();
    private byte[] copy = new byte[0];
    private long checksum;

    /** A version took effect; one that is no higher than the last makes all before it void. */
    public void add(Configuration configuration) {
        deltas.clear();
        if (configuration.getVersion() <= newest.getVersion()) {
            earlier.clear();
        } else if (newest.getVersion() > 0) {
            earlier.put(newest.getVersion(), newest);
            removeOldest();
        }
        newest = configuration;
        copy = configuration.toByteArray();
        checksum = ConfigurationChecksum.of(configuration);
    }

    private void removeOldest() {
        Iterator<Long> versions = earlier.keySet().iterator();
        while (earlier.size() > EARLIER_VERSIONS) {
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
        return copy;
    }

    /**
     * The delta from a version to the newest; empty where that version is not known any more, or a
     * complete copy is no larger. The caller must not write to it.
     */
    public Optional<byte[]> deltaFrom(long version) {
        return deltas.computeIfAbsent(version, this::encodeDelta);
    }

    private Optional<byte[]> encodeDelta(long version) {
        Configuration base = earlier.get(version);
        if (base == null) {
            return Optional.empty();
        }
        byte[] delta = ConfigurationDelta.between(base, newest, checksum).toByteArray();
        return delta.length < copy.length ? Optional.of(delta) : Optional.empty();
    }
}
