package gingerspool.daemon;

import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a daemon is told at its start: by the file that GW_CONFIG names, and by GW_* variables
 * besides.
 */
public final class NodeConfiguration {
    private static final Logger LOG = LoggerFactory.getLogger(NodeConfiguration.class);

    public final String name;
    public final InetSocketAddress listen;

    /** Null where the list of workers is fixed. */
    public final InetSocketAddress discovery;

    /** Where operators call, or null where they don't. */
    public final InetSocketAddress management;

    public final long seed;
    public final int sockets;

    /** The list of workers as last held, in discovery's form, or null. */
    public final Object knownList;

    public final Configuration deployment;

    /** A folder for files that the next process of this scheduler may read, or null. */
    public final Path handoverDirectory;

    private final Map<?, ?> tree;

    public static NodeConfiguration read(Map<String, String> environment)
            throws ConfigurationException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigurationException("GW_CONFIG", "is not set");
        }
        try {
            return new NodeConfiguration(Json.read(Files.readString(Path.of(file))), environment);
        } catch (IOException | RuntimeException e) {
            throw new ConfigurationException("GW_CONFIG", "names a file that can't be read: " + e);
        } catch (BadMessage e) {
            throw new ConfigurationException("GW_CONFIG", "names a file that is " + e.getMessage());
        }
    }

    NodeConfiguration(Object tree, Map<String, String> environment) throws ConfigurationException {
        ConfigurationValue root = new ConfigurationValue("", tree);
        if (!(tree instanceof Map<?, ?> object)) {
            throw new ConfigurationException("GW_CONFIG", "names a file that holds no object");
        }
        this.tree = object;
        name = root.at("name").text(environment.getOrDefault("GW_NAME", "gingerspool"));
        listen = address(root.at("listen"), environment.get("GW_LISTEN"));
        discovery =
                root.at("fixedList").flag()
                        ? null
                        : address(root.at("discovery"), environment.get("GW_DISCOVERY"));
        String operators =
                root.at("management").text(environment.getOrDefault("GW_MANAGEMENT", ""));
        management = operators.isEmpty() ? null : address(root.at("management"), operators);
        String folder = environment.getOrDefault("TMPDIR", "");
        handoverDirectory = folder.isEmpty() ? null : Path.of(folder);
        seed = seed(root.at("seed"));
        sockets = root.at("limits").object().at("sockets").integer(1024);
        if (sockets < 64) {
            throw root.at("limits").at("sockets").fault("is under 64, too few to serve with");
        }
        knownList = root.at("known").object().raw();
        deployment = new Configuration(root.at("settings").raw());
        if (deployment.settings.mayTell) {
            LOG.warn(
                    "settings.limits.mayTell: this host has no way to other schedulers, nothing is told");
            deployment.settings.mayTell = false;
        }
    }

    /** The configuration as it was read. */
    Map<?, ?> tree() {
        return tree;
    }

    /** The keys, of those at the top, whose values differ in the other one. */
    Set<String> changedKeys(NodeConfiguration other) {
        Set<String> keys = new TreeSet<>();
        tree.keySet().forEach(k -> keys.add((String) k));
        other.tree.keySet().forEach(k -> keys.add((String) k));
        keys.removeIf(k -> Objects.equals(tree.get(k), other.tree.get(k)));
        return keys;
    }

    private static InetSocketAddress address(ConfigurationValue key, String fallback)
            throws ConfigurationException {
        String text = key.text(fallback);
        if (text == null) {
            throw key.fault("is missing");
        }
        try {
            return Address.read(text);
        } catch (BadMessage e) {
            throw key.fault("is " + e.getMessage());
        }
    }

    private static long seed(ConfigurationValue key) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(key.required().text(""), 16);
        } catch (NumberFormatException e) {
            throw key.fault("is not a number of up to 16 hex digits");
        }
    }
}
