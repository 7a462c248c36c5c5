package gingerspool.configuration;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Parts of a configuration as JSON, and lists as items by key, in which copies are compared. */
final class JsonItems {
    private JsonItems() {}

    static Map<?, ?> object(Map<?, ?> fields, String key) throws InvalidConfigurationException {
        Object value = fields.get(key);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw new InvalidConfigurationException(key + " is no object");
        }
        return value == null ? Map.of() : (Map<?, ?>) value;
    }

    static List<?> list(Object value, String key) throws InvalidConfigurationException {
        if (value != null && !(value instanceof List<?>)) {
            throw new InvalidConfigurationException(key + " is no list");
        }
        return value == null ? List.of() : (List<?>) value;
    }

    /** A list as items: its length under `N/list`, each element under `L/list/index`. */
    static void putList(Map<String, String> items, String name, List<?> list) {
        items.put("N/" + name, Json.write(List.of(list.size())));
        for (int i = 0; i < list.size(); i++) {
            items.put("L/" + name + "/" + i, Json.write(Arrays.asList(list.get(i))));
        }
    }

    /** The list that putList() put, of this length. */
    static List<Object> readList(Map<String, String> items, String name, int length)
            throws BadMessage, InvalidConfigurationException {
        List<Object> list = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            String item = items.get("L/" + name + "/" + i);
            if (item == null) {
                throw new InvalidConfigurationException(name + " lacks item " + i);
            }
            list.add(readValue(item));
        }
        return list;
    }

    static Object readValue(String item) throws BadMessage {
        byte[] bytes = item.getBytes(StandardCharsets.UTF_8);
        return ((List<?>) Json.read(bytes, 0, bytes.length)).get(0);
    }
}
