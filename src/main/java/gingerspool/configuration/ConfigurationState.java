package gingerspool.configuration;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The configuration that is in force, and what was taken lately. Commands come in the one order, so
 * each member decides the same of each. It is kept as it was sent, fields that nobody knows
 * included.
 */
public final class ConfigurationState {
    public static final int TAKEN = 200;
    public static final int OTHER_VERSION = 412;
    public static final int INVALID = 400;

    /** What became of a change: where it was taken, now or before, the version that it made. */
    public record Verdict(int status, String text, long version) {
        static Verdict taken(long version) {
            return new Verdict(TAKEN, "taken", version);
        }

        static Verdict refused(int status, String why) {
            return new Verdict(status, why, 0);
        }
    }

    private Map<String, Object> tree = Map.of();
    private Configuration configuration = Configuration.getDefaultInstance();

    private AcceptedChanges accepted = new AcceptedChanges();

    public long version() {
        return configuration.getVersion();
    }

    public Configuration configuration() {
        return configuration;
    }

    /** As operators read it back. */
    public byte[] text() {
        return Json.write(tree).getBytes(StandardCharsets.UTF_8);
    }

    // ---- Commands ----

    /** A whole configuration, or changes to the one in force, made on a version. */
    public Verdict take(boolean whole, long on, byte[] body) {
        byte[] digest = AcceptedChanges.digest(whole, on, body);
        try {
            Object sent = Json.read(body, 0, body.length);
            if (!(sent instanceof Map<?, ?> said)) {
                throw new InvalidConfigurationException("the body is no JSON object");
            }
            long version = version(said);
            if (accepted.contains(version, digest)) {
                return Verdict.taken(version);
            }
            if (on != version()) {
                return Verdict.refused(OTHER_VERSION, "the version in force is " + version());
            }
            Map<String, Object> next = whole ? copy(said) : changed(said);
            Configuration typed = typed(next);
            check(typed);
            checkWeights(next);
            if (version <= version()) {
                throw new InvalidConfigurationException(
                        "Version " + version + " is not higher than " + version());
            }
            tree = next;
            configuration = typed;
            accepted.add(version, digest);
            return Verdict.taken(version);
        } catch (BadMessage | InvalidConfigurationException e) {
            return Verdict.refused(INVALID, e.getMessage());
        }
    }

    private static long version(Map<?, ?> said) throws InvalidConfigurationException {
        if (!(said.get("Version") instanceof Number n)
                || n.doubleValue() != Math.rint(n.doubleValue())
                || n.doubleValue() < 1) {
            throw new InvalidConfigurationException("Version is no whole number above 0");
        }
        return n.longValue();
    }

    private static Map<String, Object> copy(Map<?, ?> said) {
        Map<String, Object> all = new LinkedHashMap<>();
        said.forEach((k, v) -> all.put((String) k, v));
        return all;
    }

    /** The configuration in force with some items added, replaced or removed by name. */
    private Map<String, Object> changed(Map<?, ?> said) throws InvalidConfigurationException {
        Map<String, Object> next = copy(tree);
        next.put("Version", said.get("Version"));
        Set<Object> lists = new HashSet<>(table(said, "Upserts").keySet());
        lists.addAll(table(said, "Removals").keySet());
        for (Object list : lists) {
            Map<Object, Object> byName = new LinkedHashMap<>();
            for (Object item : list(next.get(list), String.valueOf(list))) {
                byName.put(JsonTree.at(item, "Name"), item);
            }
            for (Object name : list(table(said, "Removals").get(list), "Removals." + list)) {
                byName.remove(name);
            }
            for (Object item : list(table(said, "Upserts").get(list), "Upserts." + list)) {
                if (JsonTree.text(null, item, "Name") == null) {
                    throw new InvalidConfigurationException(
                            "an item of Upserts." + list + " has no Name");
                }
                byName.put(JsonTree.at(item, "Name"), item);
            }
            next.put(String.valueOf(list), new ArrayList<>(byName.values()));
        }
        return next;
    }

    private static Map<?, ?> table(Map<?, ?> said, String key)
            throws InvalidConfigurationException {
        Object at = said.get(key);
        if (at != null && !(at instanceof Map<?, ?>)) {
            throw new InvalidConfigurationException(key + " is no object");
        }
        return at == null ? Map.of() : (Map<?, ?>) at;
    }

    private static List<?> list(Object at, String key) throws InvalidConfigurationException {
        if (at != null && !(at instanceof List<?>)) {
            throw new InvalidConfigurationException(key + " is no list");
        }
        return at == null ? List.of() : (List<?>) at;
    }

    private static Configuration typed(Map<String, Object> tree)
            throws InvalidConfigurationException {
        try {
            Configuration.Builder b = Configuration.newBuilder();
            JsonFormat.parser().ignoringUnknownFields().merge(Json.write(tree), b);
            return b.build();
        } catch (InvalidProtocolBufferException e) {
            throw new InvalidConfigurationException(e.getMessage());
        }
    }

    /** The rules that any configuration keeps. */
    private static void check(Configuration c) throws InvalidConfigurationException {
        Set<String> services = new HashSet<>();
        for (Service s : c.getServicesList()) {
            if (s.getName().isEmpty() || !services.add(s.getName())) {
                throw new InvalidConfigurationException(
                        "Services: \"" + s.getName() + "\" stands twice or has no Name");
            }
        }
        Set<String> names = new HashSet<>();
        Map<String, String> places = new HashMap<>();
        for (Route r : c.getRoutesList()) {
            String at = "Routes: \"" + r.getName() + "\" ";
            if (r.getName().isEmpty() || !names.add(r.getName())) {
                throw new InvalidConfigurationException(at + "stands twice or has no Name");
            }
            if (!services.contains(r.getService())) {
                throw new InvalidConfigurationException(
                        at + "names Service \"" + r.getService() + "\", which isn't there");
            }
            if (r.hasTimeout() && r.getTimeout() <= 0) {
                throw new InvalidConfigurationException(at + "has TimeoutMs " + r.getTimeout());
            }
            String other =
                    places.put(RouteTable.host(r.getHost()) + " " + r.getPrefix(), r.getName());
            if (other != null) {
                throw new InvalidConfigurationException(
                        at + "has the HostName and PathPrefix of \"" + other + "\"");
            }
        }
    }

    /**
     * Where a route is split over a list, the weights in it must not sum to 0. Routes of today's
     * sites name one service, so no field of our own has weights.
     */
    private static void checkWeights(Map<String, Object> tree)
            throws InvalidConfigurationException {
        for (Object route : list(tree.get("Routes"), "Routes")) {
            if (route instanceof Map<?, ?> fields) {
                for (Map.Entry<?, ?> field : fields.entrySet()) {
                    if (field.getValue() instanceof List<?> parts && weighsNothing(parts)) {
                        throw new InvalidConfigurationException(
                                "Routes: \"%s\" has weights in %s that sum to 0"
                                        .formatted(fields.get("Name"), field.getKey()));
                    }
                }
            }
        }
    }

    private static boolean weighsNothing(List<?> parts) {
        double sum = 0;
        for (Object part : parts) {
            if (!(JsonTree.at(part, "Weight") instanceof Number weight)) {
                return false;
            }
            sum += weight.doubleValue();
        }
        return !parts.isEmpty() && sum <= 0;
    }

    // ---- Repair ----

    /**
     * All that is kept, as items by key: `F/field`, `N/list` (its length), `L/list/index`,
     * `T/version` (a block of accepted changes, by its first version).
     */
    public Map<String, String> items() {
        Map<String, String> all = new TreeMap<>();
        tree.forEach(
                (field, value) -> {
                    if (value instanceof List<?> l) {
                        all.put("N/" + field, Json.write(List.of(l.size())));
                        for (int i = 0; i < l.size(); i++) {
                            all.put("L/" + field + "/" + i, Json.write(Arrays.asList(l.get(i))));
                        }
                    } else {
                        all.put("F/" + field, Json.write(Arrays.asList(value)));
                    }
                });
        accepted.blocks()
                .forEach((first, block) -> all.put("T/" + first, Json.write(List.of(block))));
        return all;
    }

    /**
     * Takes items in place of whatever is known here; what makes no configuration is refused whole.
     */
    public void mend(Map<String, String> items) throws InvalidConfigurationException {
        Map<String, Object> next = new LinkedHashMap<>();
        Map<String, Object> blocks = new TreeMap<>();
        try {
            for (Map.Entry<String, String> e : items.entrySet()) {
                String name = e.getKey().substring(2);
                switch (e.getKey().charAt(0)) {
                    case 'T' -> blocks.put(name, value(e.getValue()));
                    case 'F' -> next.put(name, value(e.getValue()));
                    case 'N' ->
                            next.put(
                                    name,
                                    list(items, name, ((Number) value(e.getValue())).intValue()));
                    default -> {}
                }
            }
        } catch (BadMessage
                | ClassCastException
                | NumberFormatException
                | IndexOutOfBoundsException e) {
            throw new InvalidConfigurationException("items that can't be read: " + e.getMessage());
        }
        Configuration typed = typed(next);
        AcceptedChanges changes = AcceptedChanges.of(blocks);
        tree = next;
        configuration = typed;
        accepted = changes;
    }

    private static List<Object> list(Map<String, String> items, String name, int length)
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

    private static Object value(String item) throws BadMessage {
        byte[] b = item.getBytes(StandardCharsets.UTF_8);
        return ((List<?>) Json.read(b, 0, b.length)).get(0);
    }

    // ---- To and from a snapshot ----

    public byte[] state() {
        return Json.write(Map.of("tree", tree, "accepted", accepted.blocks()))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Takes the place of whatever is known here. */
    public void restore(byte[] state) {
        try {
            Object all = Json.read(state, 0, state.length);
            tree = copy((Map<?, ?>) JsonTree.at(all, "tree"));
            configuration = typed(tree);
            accepted =
                    JsonTree.at(all, "taken") instanceof Map<?, ?> earlier
                            ? AcceptedChanges.ofEarlierForm(earlier)
                            : AcceptedChanges.of((Map<?, ?>) JsonTree.at(all, "accepted"));
        } catch (BadMessage | InvalidConfigurationException e) {
            throw new IllegalStateException(
                    "a state that was made here can't be read: " + e.getMessage(), e);
        }
    }
}
