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
 * The configuration of a daemon at its start: the file that GW_CONFIG names, and GW_* variables as
 * fallbacks.
 */
public final class NodeConfiguration {
    private static final Logger LOG = LoggerFactory.getLogger(NodeConfiguration.class);

    public final String name;
    public final InetSocketAddress listen;

    /** The discovery address; null if the worker list is fixed. */
    public final InetSocketAddress discovery;

    /** The address for operators' calls; null if there is none. */
    public final InetSocketAddress management;

    public final long seed;

    /** The number of descriptors that the process may use. */
    public final int sockets;

    /** The last known worker list in the format of discovery, or null. */
    public final Object knownList;

    public final Configuration deployment;

    /** A directory for files that the next process of this scheduler may read, or null. */
    public final Path handoverDirectory;

    /** The configuration as it was read. */
    private final Map<?, ?> tree;

    /** Reads the file that the variable GW_CONFIG names. */
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
            throw new ConfigurationException(
                    "GW_CONFIG", "names a file that does not contain a JSON object");
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
        if (deployment.settings.mayMessagePeers) {
            LOG.warn(
                    "settings.limits.mayTell: ignored, this host has no connection to other schedulers");
            deployment.settings.mayMessagePeers = false;
        }
    }

    /** The configuration as it was read. */
    Map<?, ?> tree() {
        return tree;
    }

    /** The top-level keys whose values differ between the two configurations. */
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
