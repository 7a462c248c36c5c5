package gingerspool.configuration;

import com.google.protobuf.MessageLite;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/**
 * A checksum of a configuration that does not depend on the order of its items: two processes that
 * came to the same version by different ways agree on it. Finds copies that were damaged or made
 * wrongly; no protection against forgery.
 */
public final class ConfigurationChecksum {
    private static final int ROUTE_KIND = 1;
    private static final int SERVICE_KIND = 2;
    private static final int LIMITS_KIND = 3;

    private ConfigurationChecksum() {}

    /** The checksum of this configuration, read from all of it. */
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

    /** Spreads each bit over all (the finalizer of MurmurHash3), so that sums differ. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
