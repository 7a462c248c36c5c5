package gingerspool.simulation;

import gingerspool.consensus.ReplicaEnvironment;
import gingerspool.consensus.ReplicaSettings;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A digest of an object with all that it refers to, read by reflection, in which times are relative
 * to the present and rounded. Two states with one digest are taken for the same state; what the
 * seeded chance would draw next is left out.
 */
final class CanonicalDigest {
    private static final int UUID_LENGTH = 36;
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final Map<Class<?>, Field[]> FIELDS =
            new java.util.concurrent.ConcurrentHashMap<>();

    private final double now;
    private final double grain;
    private final Map<Object, Boolean> seen = new IdentityHashMap<>();

    private CanonicalDigest(double now, double grain) {
        this.now = now;
        this.grain = grain;
    }

    /** The digest of these objects at a time; times are told apart by this grain. */
    static long of(double now, double grain, Object... objects) {
        CanonicalDigest digest = new CanonicalDigest(now, grain);
        return digest.value(Arrays.asList(objects));
    }

    private static long mix(long hash, long with) {
        long mixed = (hash ^ with) * MULTIPLIER;
        return mixed ^ mixed >>> 29;
    }

    private long value(Object o) {
        if (o == null
                || o instanceof SplittableRandom
                || o instanceof ReplicaEnvironment
                || o instanceof ReplicaSettings) {
            return 1;
        }
        if (o instanceof Double d) {
            return time(d);
        }
        if (o instanceof String s) {
            return s.length() == UUID_LENGTH ? 2 : s.hashCode();
        }
        if (o instanceof Enum<?> e) {
            return e.ordinal() + 3;
        }
        if (o instanceof Number || o instanceof Boolean) {
            return mix(5, o.hashCode());
        }
        if (o instanceof byte[] bytes) {
            return Arrays.hashCode(bytes);
        }
        if (o instanceof Set<?> || o instanceof HashMap<?, ?>) {
            return unordered(o);
        }
        if (o instanceof Map<?, ?> m) {
            return value(List.copyOf(m.entrySet()));
        }
        if (o instanceof Map.Entry<?, ?> e) {
            return mix(value(e.getKey()), value(e.getValue()));
        }
        if (o instanceof Collection<?> c) {
            long hash = 7;
            for (Object item : c) {
                hash = mix(hash, value(item));
            }
            return hash;
        }
        return fields(o);
    }

    private long time(double at) {
        if (Double.isNaN(at) || Double.isInfinite(at)) {
            return Double.hashCode(at);
        }
        return mix(11, Math.max(-200, Math.min(200, Math.round((at - now) / grain))));
    }

    private long unordered(Object o) {
        Collection<?> items = o instanceof Set<?> s ? s : ((Map<?, ?>) o).entrySet();
        long sum = 13;
        for (Object item : items) {
            sum += mix(17, value(item));
        }
        return sum;
    }

    private long fields(Object o) {
        if (!o.getClass().isRecord() && seen.put(o, true) != null) {
            return 19;
        }
        long hash = o.getClass().isHidden() ? 23 : o.getClass().getName().hashCode();
        try {
            for (Field field : FIELDS.computeIfAbsent(o.getClass(), CanonicalDigest::readable)) {
                hash = mix(hash, value(field.get(o)));
            }
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
        return hash;
    }

    /** Settings, which are final doubles outside of records, are no times. */
    private static Field[] readable(Class<?> type) {
        Field[] fields =
                Arrays.stream(type.getDeclaredFields())
                        .filter(f -> !Modifier.isStatic(f.getModifiers()))
                        .filter(
                                f ->
                                        type.isRecord()
                                                || type.isHidden()
                                                || f.getType() != double.class
                                                || !Modifier.isFinal(f.getModifiers()))
                        .toArray(Field[]::new);
        for (Field field : fields) {
            field.setAccessible(true);
        }
        return fields;
    }
}
