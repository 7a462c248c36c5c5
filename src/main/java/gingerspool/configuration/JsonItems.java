package gingerspool.configuration;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Reads parts of a configuration in JSON, and converts lists to and from the items by which members
 * compare their copies of the state.
 */
final class JsonItems {
    private JsonItems() {}

    /** The object under this key; empty if it is missing or null. */
    static Map<?, ?> object(Map<?, ?> fields, String key) throws InvalidConfigurationException {
        Object value = fields.get(key);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw new InvalidConfigurationException(key + " is not an object");
        }
        return value == null ? Map.of() : (Map<?, ?>) value;
    }

    /** The value as a list, empty if it is null; the key is for the message. */
    static List<?> list(Object value, String key) throws InvalidConfigurationException {
        if (value != null && !(value instanceof List<?>)) {
            throw new InvalidConfigurationException(key + " is not a list");
        }
        return value == null ? List.of() : (List<?>) value;
    }

    /** Adds a list as items: its length under `N/list`, each element under `L/list/index`. */
    static void putList(Map<String, String> items, String name, List<?> list) {
        items.put("N/" + name, Json.write(List.of(list.size())));
        for (int i = 0; i < list.size(); i++) {
            items.put("L/" + name + "/" + i, Json.write(Arrays.asList(list.get(i))));
        }
    }

    /** Reads a list of this length that putList() added. */
    static List<Object> readList(Map<String, String> items, String name, int length)
            throws BadMessage, InvalidConfigurationException {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            String item = items.get("L/" + name + "/" + i);
            if (item == null) {
                throw new InvalidConfigurationException(name + " has no item " + i);
            }
            list.add(readValue(item));
        }
        return list;
    }

    /** The value of an item, which is written as a JSON list of one element. */
    static Object readValue(String item) throws BadMessage {
        byte[] bytes = item.getBytes(StandardCharsets.UTF_8);
        return ((List<?>) Json.read(bytes, 0, bytes.length)).get(0);
    }
}
