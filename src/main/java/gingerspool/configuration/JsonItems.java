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

    static Map<?, ?> table(Map<?, ?> said, String key) throws InvalidConfigurationException {
        Object at = said.get(key);
        if (at != null && !(at instanceof Map<?, ?>)) {
            throw new InvalidConfigurationException(key + " is no object");
        }
        return at == null ? Map.of() : (Map<?, ?>) at;
    }

    static List<?> list(Object at, String key) throws InvalidConfigurationException {
        if (at != null && !(at instanceof List<?>)) {
            throw new InvalidConfigurationException(key + " is no list");
        }
        return at == null ? List.of() : (List<?>) at;
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
            list.add(value(item));
        }
        return list;
    }

    static Object value(String item) throws BadMessage {
        byte[] bytes = item.getBytes(StandardCharsets.UTF_8);
        return ((List<?>) Json.read(bytes, 0, bytes.length)).get(0);
    }
}
