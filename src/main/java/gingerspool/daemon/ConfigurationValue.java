package gingerspool.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A value of the configuration together with its path, so that every error message names the
 * invalid key. The read methods return the fallback where the value is absent.
 */
final class ConfigurationValue {
    private final String path;
    private final Object value;

    ConfigurationValue(String path, Object value) {
        this.path = path;
        this.value = value;
    }

    /** The member of an object, absent if there is none. */
    ConfigurationValue at(String name) {
        String childPath = path.isEmpty() ? name : path + "." + name;
        return new ConfigurationValue(childPath, value instanceof Map<?, ?> m ? m.get(name) : null);
    }

    /** An exception that says what is wrong with this value. */
    ConfigurationException fault(String what) {
        return new ConfigurationException(path, what);
    }

    ConfigurationValue required() throws ConfigurationException {
        if (value == null) {
            throw fault("is missing");
        }
        return this;
    }

    ConfigurationValue object() throws ConfigurationException {
        if (value != null && !(value instanceof Map)) {
            throw fault("is not an object");
        }
        return this;
    }

    Object raw() {
        return value;
    }

    String text(String fallback) throws ConfigurationException {
        if (value == null) {
            return fallback;
        }
        if (value instanceof String s) {
            return s;
        }
        throw fault("is not text");
    }

    /** A non-negative number. */
    double number(double fallback) throws ConfigurationException {
        double n = signedNumber(fallback);
        if (n < 0 && n != fallback) {
            throw fault("is negative");
        }
        return n;
    }

    /** Any finite number. */
    double signedNumber(double fallback) throws ConfigurationException {
        if (value == null) {
            return fallback;
        }
        if (value instanceof Number n && Double.isFinite(n.doubleValue())) {
            return n.doubleValue();
        }
        throw fault("is not a number");
    }

    /** A non-negative number without its fraction, at most the largest integer. */
    int integer(int fallback) throws ConfigurationException {
        return (int) Math.min(Integer.MAX_VALUE, number(fallback));
    }

    /** A boolean; false where it is absent. */
    boolean flag() throws ConfigurationException {
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw fault("is not true or false");
    }

    /** The entries of a list; empty if it is absent. */
    List<ConfigurationValue> list() throws ConfigurationException {
        List<ConfigurationValue> entries = new ArrayList<>();
        if (value instanceof List<?> l) {
            for (int i = 0; i < l.size(); i++) {
                entries.add(new ConfigurationValue(path + "[" + i + "]", l.get(i)));
            }
        } else if (value != null) {
            throw fault("is not a list");
        }
        return entries;
    }

    /** The list's entry at this index, absent if there is none. */
    ConfigurationValue entry(int index) throws ConfigurationException {
        List<ConfigurationValue> entries = list();
        return index < entries.size()
                ? entries.get(index)
                : new ConfigurationValue(path + "[" + index + "]", null);
    }
}
