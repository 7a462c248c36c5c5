package gingerspool.configuration;

import com.google.protobuf.MessageLite;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * A checksum of a configuration that does not depend on the order of its items, so that processes
 * that reached the same version in different ways agree on it. It detects damaged or wrongly
 * computed copies, but does not protect against forgery.
 */
public final class ConfigurationChecksum {
    // Part of each item's checksum, so that items of different kinds with equal bytes differ.
    private static final int ROUTE_KIND = 1;
    private static final int SERVICE_KIND = 2;
    private static final int LIMITS_KIND = 3;

    private ConfigurationChecksum() {}

    /** Computes the checksum from the complete configuration. */
    public static long of(Configuration configuration) {
        long sum = mix(configuration.getVersion());
        for (Route route : configuration.getRoutesList()) {
            sum += ofItem(ROUTE_KIND, route);
        }
        for (Service service : configuration.getServicesList()) {
            sum += ofItem(SERVICE_KIND, service);
        }
        return sum + ofItem(LIMITS_KIND, configuration.getLimits());
    }

    private static long ofItem(int kind, MessageLite item) {
        byte[] bytes = item.toByteArray();
        CRC32 crc32 = new CRC32();
        crc32.update(bytes, 0, bytes.length);
        CRC32C crc32c = new CRC32C();
        crc32c.update(kind);
        crc32c.update(bytes, 0, bytes.length);
        return mix(crc32c.getValue() << Integer.SIZE | crc32.getValue());
    }

    /** Lets each input bit affect all bits (the finalizer of MurmurHash3), so that sums differ. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
