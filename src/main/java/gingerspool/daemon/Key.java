package gingerspool.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One value of the configuration and where it stands, so that every complaint can name its key. */
final class Key {
    private final String path;
    private final Object value;

    Key(String path, Object value) {
        this.path = path;
        this.value = value;
    }

    Key at(String name) {
        String below = path.isEmpty() ? name : path + "." + name;
        return new Key(below, value instanceof Map<?, ?> m ? m.get(name) : null);
    }

    ConfigurationException fault(String what) {
        return new ConfigurationException(path, what);
    }

    Key needed() throws ConfigurationException {
        if (value == null) {
            throw fault("is missing");
        }
        return this;
    }

    Key object() throws ConfigurationException {
        if (value != null && !(value instanceof Map)) {
            throw fault("is not an object");
        }
        return this;
    }

    Object raw() {
        return value;
    }

    String text(String other) throws ConfigurationException {
        if (value == null) {
            return other;
        }
        if (value instanceof String s) {
            return s;
        }
        throw fault("is not text");
    }

    /** A number that is not negative. */
    double number(double other) throws ConfigurationException {
        double n = any(other);
        if (n < 0 && n != other) {
            throw fault("is negative");
        }
        return n;
    }

    double any(double other) throws ConfigurationException {
        if (value == null) {
            return other;
        }
        if (value instanceof Number n && Double.isFinite(n.doubleValue())) {
            return n.doubleValue();
        }
        throw fault("is not a number");
    }

    int whole(int other) throws ConfigurationException {
        return (int) Math.min(Integer.MAX_VALUE, number(other));
    }

    boolean mark() throws ConfigurationException {
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw fault("is not true or false");
    }

    /** The entries of a list; none where it is absent. */
    List<Key> list() throws ConfigurationException {
        List<Key> entries = new ArrayList<>();
        if (value instanceof List<?> l) {
            for (int i = 0; i < l.size(); i++) {
                entries.add(new Key(path + "[" + i + "]", l.get(i)));
            }
        } else if (value != null) {
            throw fault("is not a list");
        }
        return entries;
    }

    /** The entry at this place of a list, or one that is absent. */
    Key place(int i) throws ConfigurationException {
        List<Key> entries = list();
        return i < entries.size() ? entries.get(i) : new Key(path + "[" + i + "]", null);
    }
}
