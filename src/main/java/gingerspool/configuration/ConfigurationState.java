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
 * The configuration in force and the recently accepted changes: the state machine that the
 * replicated log drives.
 *
 * <p>Invariants: versions only increase. The same commands in the same order give the same state on
 * every member. The configuration is kept as it was sent, including unknown fields. Owned by the
 * control node, for one thread.
 */
public final class ConfigurationState {
    // The status codes of a change, which are those of HTTP.
    public static final int ACCEPTED = 200;
    public static final int VERSION_CONFLICT = 412;
    public static final int INVALID = 400;

    /**
     * The result of a change: its status code, the reason if it was rejected, and the version that
     * it created, now or when it was first applied; 0 if it was rejected.
     */
    public record ChangeResult(int status, String message, long version) {
        static ChangeResult accepted(long version) {
            return new ChangeResult(ACCEPTED, "taken", version);
        }

        static ChangeResult rejected(int status, String message) {
            return new ChangeResult(status, message, 0);
        }
    }

    /** The configuration as it was sent. */
    private Map<String, Object> json = Map.of();

    /** The same configuration as a typed message. */
    private Configuration configuration = Configuration.getDefaultInstance();

    private final TypedConfiguration typedConfiguration = new TypedConfiguration();
    private AcceptedChanges acceptedChanges = new AcceptedChanges();

    /** The version in force; 0 if there is none yet. */
    public long version() {
        return configuration.getVersion();
    }

    public Configuration configuration() {
        return configuration;
    }

    /** The configuration in force as JSON, in the form in which operators read it. */
    public byte[] toJson() {
        return Json.write(json).getBytes(StandardCharsets.UTF_8);
    }

    // ---- Commands ----

    /**
     * Applies a change. A change that was accepted before is recognized and accepted again, without
     * any effect.
     *
     * @param isReplacement whether the body is a complete configuration, not a set of upserts and
     *     removals
     * @param baseVersion the version that the change was made for; it must be in force
     * @param body JSON
     */
    public ChangeResult apply(boolean isReplacement, long baseVersion, byte[] body) {
        byte[] digest = AcceptedChanges.digest(isReplacement, baseVersion, body);
        try {
            Object parsedBody = Json.read(body, 0, body.length);
            if (!(parsedBody instanceof Map<?, ?> fields)) {
                throw new InvalidConfigurationException("the body is not a JSON object");
            }
            long version = version(fields);
            if (acceptedChanges.contains(version, digest)) {
                return ChangeResult.accepted(version);
            }
            if (baseVersion != version()) {
                return ChangeResult.rejected(
                        VERSION_CONFLICT, "the version in force is " + version());
            }
            Map<String, Object> nextJson = isReplacement ? copy(fields) : withChanges(fields);
            Configuration nextConfiguration = typedConfiguration.read(nextJson);
            ConfigurationRules.check(nextConfiguration);
            ConfigurationRules.checkWeights(nextJson);
            if (version <= version()) {
                throw new InvalidConfigurationException(
                        "Version "
                                + version
                                + " is not higher than the version in force, "
                                + version());
            }
            json = nextJson;
            configuration = nextConfiguration;
            acceptedChanges.add(version, digest);
            return ChangeResult.accepted(version);
        } catch (BadMessage | InvalidConfigurationException e) {
            return ChangeResult.rejected(INVALID, e.getMessage());
        }
    }

    private static long version(Map<?, ?> fields) throws InvalidConfigurationException {
        if (!(fields.get("Version") instanceof Number n)
                || n.doubleValue() != Math.rint(n.doubleValue())
                || n.doubleValue() < 1) {
            throw new InvalidConfigurationException("Version is not an integer greater than 0");
        }
        return n.longValue();
    }

    private static Map<String, Object> copy(Map<?, ?> fields) {
        Map<String, Object> copy = new LinkedHashMap<>();
        fields.forEach((name, value) -> copy.put((String) name, value));
        return copy;
    }

    /** The configuration in force with items upserted and removed by name. */
    private Map<String, Object> withChanges(Map<?, ?> change) throws InvalidConfigurationException {
        Map<String, Object> nextJson = copy(json);
        nextJson.put("Version", change.get("Version"));
        Set<Object> changedLists = new HashSet<>(JsonItems.object(change, "Upserts").keySet());
        changedLists.addAll(JsonItems.object(change, "Removals").keySet());
        for (Object list : changedLists) {
            Map<Object, Object> byName = new LinkedHashMap<>();
            for (Object item : JsonItems.list(nextJson.get(list), String.valueOf(list))) {
                byName.put(JsonTree.at(item, "Name"), item);
            }
            for (Object name :
                    JsonItems.list(
                            JsonItems.object(change, "Removals").get(list), "Removals." + list)) {
                byName.remove(name);
            }
            for (Object item :
                    JsonItems.list(
                            JsonItems.object(change, "Upserts").get(list), "Upserts." + list)) {
                if (JsonTree.text(null, item, "Name") == null) {
                    throw new InvalidConfigurationException(
                            "an item of Upserts." + list + " has no Name");
                }
                byName.put(JsonTree.at(item, "Name"), item);
            }
            nextJson.put(String.valueOf(list), new ArrayList<>(byName.values()));
        }
        return nextJson;
    }

    // ---- Repair ----

    /**
     * The complete state as items by key, for comparison with other members: `F/field`, `N/list`
     * (the length of a list), `L/list/index` (an element) and `T/version` (a block of accepted
     * changes, by its first version).
     */
    public Map<String, String> items() {
        Map<String, String> all = new TreeMap<>();
        json.forEach(
                (field, value) -> {
                    if (value instanceof List<?> list) {
                        JsonItems.putList(all, field, list);
                    } else {
                        all.put("F/" + field, Json.write(Arrays.asList(value)));
                    }
                });
        acceptedChanges
                .blocks()
                .forEach((first, block) -> all.put("T/" + first, Json.write(List.of(block))));
        return all;
    }

    /**
     * Replaces the complete state by items of another member. If they are not a valid
     * configuration, the state stays as it was.
     */
    public void repair(Map<String, String> items) throws InvalidConfigurationException {
        Map<String, Object> nextJson = new LinkedHashMap<>();
        Map<String, Object> blocks = new TreeMap<>();
        try {
            for (Map.Entry<String, String> item : items.entrySet()) {
                String name = item.getKey().substring(2);
                switch (item.getKey().charAt(0)) {
                    case 'T' -> blocks.put(name, JsonItems.readValue(item.getValue()));
                    case 'F' -> nextJson.put(name, JsonItems.readValue(item.getValue()));
                    case 'N' ->
                            nextJson.put(
                                    name,
                                    JsonItems.readList(
                                            items,
                                            name,
                                            ((Number) JsonItems.readValue(item.getValue()))
                                                    .intValue()));
                    default -> {}
                }
            }
        } catch (BadMessage
                | ClassCastException
                | NumberFormatException
                | IndexOutOfBoundsException e) {
            throw new InvalidConfigurationException("the items cannot be read: " + e.getMessage());
        }
        Configuration repaired = typedConfiguration.read(nextJson);
        AcceptedChanges changes = AcceptedChanges.fromBlocks(blocks);
        json = nextJson;
        configuration = repaired;
        acceptedChanges = changes;
    }

    // ---- Snapshots ----

    /** The complete state, encoded for a snapshot. */
    public byte[] snapshot() {
        return Json.write(Map.of("tree", json, "accepted", acceptedChanges.blocks()))
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Replaces the complete state by that of a snapshot. Also reads snapshots of earlier builds,
     * which have the key `taken` instead of `accepted`.
     */
    public void restore(byte[] state) {
        try {
            Object parsedState = Json.read(state, 0, state.length);
            json = copy((Map<?, ?>) JsonTree.at(parsedState, "tree"));
            configuration = typedConfiguration.read(json);
            acceptedChanges =
                    JsonTree.at(parsedState, "taken") instanceof Map<?, ?> earlier
                            ? AcceptedChanges.fromLegacyDigests(earlier)
                            : AcceptedChanges.fromBlocks(
                                    (Map<?, ?>) JsonTree.at(parsedState, "accepted"));
        } catch (BadMessage | InvalidConfigurationException e) {
            throw new IllegalStateException(
                    "the state of a snapshot cannot be read: " + e.getMessage(), e);
        }
    }
}
