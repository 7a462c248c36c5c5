package gingerspool.simhost;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The fields of the message being read, by their names in the protocol. SimHost reuses one object
 * for all messages. A field that is null counts as missing.
 */
final class Fields {
    private String[] names = new String[24];
    private Object[] values = new Object[24];
    private double[] numbers = new double[24];
    private long[] integers = new long[24];
    private int count;

    /** Reads an object's fields up to its end; the parser is at the object's start. */
    void read(JsonParser in) throws IOException, WireException {
        count = 0;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            if (count == names.length) {
                throw new WireException("more than " + count + " fields");
            }
            names[count] = in.currentName();
            values[count] = null;
            numbers[count] = Double.NaN;
            JsonToken token = in.nextToken();
            switch (token) {
                case VALUE_STRING -> values[count] = in.getText();
                case VALUE_NUMBER_INT -> {
                    numbers[count] = in.getDoubleValue();
                    integers[count] =
                            in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                                    ? in.getBigIntegerValue().longValue()
                                    : in.getLongValue();
                }
                case VALUE_NUMBER_FLOAT -> {
                    numbers[count] = in.getDoubleValue();
                    integers[count] = (long) numbers[count];
                }
                case VALUE_TRUE -> values[count] = Boolean.TRUE;
                case VALUE_FALSE -> values[count] = Boolean.FALSE;
                case VALUE_NULL -> count--;
                default -> values[count] = parseTree(in);
            }
            count++;
        }
    }

    /**
     * Parses a JSON value into maps, lists, strings, doubles and booleans. Allocates for each
     * value, so it is used only for the rare nested fields.
     */
    static Object parseTree(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> map = new HashMap<>();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    in.nextToken();
                    map.put(name, parseTree(in));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(parseTree(in));
                }
                return list;
            }
            case VALUE_STRING -> {
                return in.getText();
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
                return in.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return Boolean.TRUE;
            }
            case VALUE_FALSE -> {
                return Boolean.FALSE;
            }
            default -> {
                return null;
            }
        }
    }

    private int indexOf(String name) {
        for (int i = 0; i < count; i++) {
            if (names[i].equals(name)) {
                return i;
            }
        }
        return -1;
    }

    String text(String name) throws WireException {
        String value = textOr(name, null);
        if (value == null) {
            throw new WireException("field " + name + " is missing");
        }
        return value;
    }

    /** A string field; a 0 counts as missing if the default is null. */
    String textOr(String name, String defaultValue) throws WireException {
        int i = indexOf(name);
        if (i < 0) {
            return defaultValue;
        }
        if (values[i] instanceof String s) {
            return s;
        }
        if (numbers[i] == 0 && defaultValue == null) {
            return null;
        }
        throw new WireException("field " + name + " is not a string");
    }

    double number(String name) throws WireException {
        int i = indexOf(name);
        if (i < 0) {
            throw new WireException("field " + name + " is missing");
        }
        return numberOr(name, 0);
    }

    double numberOr(String name, double defaultValue) throws WireException {
        int i = indexOf(name);
        if (i < 0) {
            return defaultValue;
        }
        if (values[i] != null) {
            throw new WireException("field " + name + " is not a number");
        }
        return numbers[i];
    }

    /** The integer value, exact beyond the precision of a double; fractions are cut off. */
    long integer(String name) throws WireException {
        number(name);
        return integers[indexOf(name)];
    }

    /** A boolean field; false if it is missing. */
    boolean flag(String name) throws WireException {
        int i = indexOf(name);
        if (i < 0) {
            return false;
        }
        if (values[i] instanceof Boolean b) {
            return b;
        }
        throw new WireException("field " + name + " is not a boolean");
    }

    /** A field's string, boolean or parsed tree, or null for a number. */
    Object valueOr(String name, Object defaultValue) {
        int i = indexOf(name);
        return i < 0 ? defaultValue : values[i];
    }
}
