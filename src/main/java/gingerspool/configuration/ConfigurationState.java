package gingerspool.configuration;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The configuration in force and the changes accepted lately: the state machine of the log.
 *
 * <p>Invariants: versions only go up; the same commands in the same order make the same state on
 * every member; the configuration is kept as it was sent, fields that nobody knows included. For
 * one thread; the control node owns it.
 */
public final class ConfigurationState {
    public static final int ACCEPTED = 200;
    public static final int VERSION_CONFLICT = 412;
    public static final int INVALID = 400;

    /** What became of a change: where it was taken, now or before, the version that it made. */
    public record Verdict(int status, String text, long version) {
        static Verdict accepted(long version) {
            return new Verdict(ACCEPTED, "taken", version);
        }

        static Verdict rejected(int status, String why) {
            return new Verdict(status, why, 0);
        }
    }

    private Map<String, Object> tree = Map.of();
    private Configuration configuration = Configuration.getDefaultInstance();

    private final TypedConfiguration typed = new TypedConfiguration();
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
    public Verdict apply(boolean whole, long on, byte[] body) {
        byte[] digest = AcceptedChanges.digest(whole, on, body);
        try {
            Object sent = Json.read(body, 0, body.length);
            if (!(sent instanceof Map<?, ?> said)) {
                throw new InvalidConfigurationException("the body is no JSON object");
            }
            long version = version(said);
            if (accepted.contains(version, digest)) {
                return Verdict.accepted(version);
            }
            if (on != version()) {
                return Verdict.rejected(VERSION_CONFLICT, "the version in force is " + version());
            }
            Map<String, Object> next = whole ? copy(said) : changed(said);
            Configuration changed = typed.read(next);
            ConfigurationRules.check(changed);
            ConfigurationRules.checkWeights(next);
            if (version <= version()) {
                throw new InvalidConfigurationException(
                        "Version " + version + " is not higher than " + version());
            }
            tree = next;
            configuration = changed;
            accepted.add(version, digest);
            return Verdict.accepted(version);
        } catch (BadMessage | InvalidConfigurationException e) {
            return Verdict.rejected(INVALID, e.getMessage());
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
        Set<Object> lists = new HashSet<>(JsonItems.table(said, "Upserts").keySet());
        lists.addAll(JsonItems.table(said, "Removals").keySet());
        for (Object list : lists) {
            Map<Object, Object> byName = new LinkedHashMap<>();
            for (Object item : JsonItems.list(next.get(list), String.valueOf(list))) {
                byName.put(JsonTree.at(item, "Name"), item);
            }
            for (Object name :
                    JsonItems.list(
                            JsonItems.table(said, "Removals").get(list), "Removals." + list)) {
                byName.remove(name);
            }
            for (Object item :
                    JsonItems.list(JsonItems.table(said, "Upserts").get(list), "Upserts." + list)) {
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
                        JsonItems.putList(all, field, l);
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
    public void repair(Map<String, String> items) throws InvalidConfigurationException {
        Map<String, Object> next = new LinkedHashMap<>();
        Map<String, Object> blocks = new TreeMap<>();
        try {
            for (Map.Entry<String, String> e : items.entrySet()) {
                String name = e.getKey().substring(2);
                switch (e.getKey().charAt(0)) {
                    case 'T' -> blocks.put(name, JsonItems.value(e.getValue()));
                    case 'F' -> next.put(name, JsonItems.value(e.getValue()));
                    case 'N' ->
                            next.put(
                                    name,
                                    JsonItems.readList(
                                            items,
                                            name,
                                            ((Number) JsonItems.value(e.getValue())).intValue()));
                    default -> {}
                }
            }
        } catch (BadMessage
                | ClassCastException
                | NumberFormatException
                | IndexOutOfBoundsException e) {
            throw new InvalidConfigurationException("items that can't be read: " + e.getMessage());
        }
        Configuration repaired = typed.read(next);
        AcceptedChanges changes = AcceptedChanges.of(blocks);
        tree = next;
        configuration = repaired;
        accepted = changes;
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
            configuration = typed.read(tree);
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
