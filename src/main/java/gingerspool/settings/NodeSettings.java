package gingerspool.settings;

import gingerspool.toml.Diagnostic;
import gingerspool.toml.Layers;
import gingerspool.toml.Section;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The settings of a process, read from its settings file. Times are milliseconds, rates are per
 * second. Unknown keys are ignored, since new ones may be added.
 */
public final class NodeSettings {
    /** The environment variable that holds the path of the settings file. */
    public static final String PATH_VARIABLE = "GINGERSPOOL_CONFIG";

    private static final int MAX_PORT = 65535;

    public final String name;
    public final String ip;
    public final String zone;

    /** Sorted, so that each zone has the same number in every process. */
    public final List<String> zones;

    /** The port on which the processes of the platform reach each other. */
    public final int internalPort;

    /** The addresses of the control nodes that a process contacts first. */
    public final List<InetSocketAddress> seeds;

    /** Whether control nodes that have no stored state found a new cluster with the seeds. */
    public final boolean firstStart;

    /** Null if this process does not listen there. */
    public final InetSocketAddress frontAddress;

    /** Null if this process does not listen there. */
    public final InetSocketAddress readinessAddress;

    /** Null if this process does not listen there. */
    public final InetSocketAddress controlAddress;

    /** The limit of open file descriptors. */
    public final int maxFileDescriptors;

    /** Null if the process has no disk. */
    public final Path dataDirectory;

    /** The disk space that the process may use, in megabytes. */
    public final double diskMb;

    /** How many of the voting machines may be lost at once. */
    public final int toleratedLosses;

    public final double heartbeatInterval;
    public final double contactTimeout;
    public final double drainTimeout;

    /** The time within which an acknowledged configuration must be in force everywhere. */
    public final double configurationApplyTimeout;

    /** The time that a process has to stop after a signal. */
    public final double gracePeriod;

    /** How many requests the instances of a function may reject as too many within five seconds. */
    public final double rejectionAllowance;

    /** Retries allowed per request, besides the slack. */
    public final double retryBudgetRatio;

    public final double retryBudgetWindow;

    /** Retries allowed per window however few the requests are. */
    public final double retryBudgetSlack;

    /** The address of the platform's API; null if there is none. */
    public final InetSocketAddress platformAddress;

    /** The rate at which the platform's lists may be read. */
    public final double platformRate;

    /** How far the platform's lists may lag behind. */
    public final double platformListDelay;

    /** The rate at which instances may be started and stopped. */
    public final double startStopRate;

    private NodeSettings(Section root) {
        name = root.text("NodeName", null).value();
        ip = requiredText(root, "IpAddress");
        zone = requiredText(root, "Zone");
        zones = root.section("Zones").keys().stream().sorted().toList();
        List<Integer> ports = root.wholes("InternalPortRange", 1, MAX_PORT);
        if (ports.isEmpty()) {
            root.fault(
                    "InternalPortRange", "is missing or empty, wanted the first and the last port");
        }
        internalPort = ports.isEmpty() ? 0 : ports.get(0);
        seeds = addresses(root, "SeedNodes", root.texts("SeedNodes", List.of()));
        firstStart = root.mark("FirstStart", false).value();
        Section listen = root.section("ListenAddresses");
        frontAddress = address(listen, "FrontAddress");
        readinessAddress = address(listen, "ReadinessAddress");
        controlAddress = address(listen, "ControlAddress");
        maxFileDescriptors =
                root.section("Limits")
                        .whole("FileDescriptors", 1024, 64, Integer.MAX_VALUE)
                        .value();
        diskMb = root.section("Limits").number("DiskMb", 0.0, 0, 1e9).value();
        var directory = root.text("DataDirectory", null);
        dataDirectory = directory == null ? null : Path.of(directory.value());
        toleratedLosses = root.section("ToleratedLosses").whole("Machines", 0, 0, 1000).value();
        heartbeatInterval = root.number("HeartbeatIntervalMs", 1000.0, 10, 60_000).value();
        Section bounds = root.section("Bounds");
        contactTimeout = nonNegativeNumber(bounds, "ContactMs", 4000);
        drainTimeout = nonNegativeNumber(bounds, "DrainMs", 3000);
        configurationApplyTimeout = nonNegativeNumber(bounds, "ConfigApplyMs", 3000);
        gracePeriod = 1000 * nonNegativeNumber(bounds, "GracePeriodS", 6);
        rejectionAllowance = nonNegativeNumber(bounds, "LimitSlack", 10);
        retryBudgetRatio = nonNegativeNumber(bounds, "RetryBudgetRatio", 0.2);
        retryBudgetWindow = 1000 * nonNegativeNumber(bounds, "BudgetWindowS", 10);
        retryBudgetSlack = nonNegativeNumber(bounds, "RetryBudgetSlack", 0);
        Section platform = root.section("Cloud");
        platformAddress = address(platform, "Address");
        platformRate = nonNegativeNumber(platform, "RatePerS", 5);
        platformListDelay = nonNegativeNumber(platform, "LagMs", 1000);
        startStopRate = nonNegativeNumber(platform, "DutyPerS", 10);
    }

    private static double nonNegativeNumber(Section section, String key, double defaultValue) {
        return section.number(key, defaultValue, 0, 1e9).value();
    }

    /** A text that is required: its absence is reported as a fault. */
    private static String requiredText(Section section, String key) {
        var setting = section.text(key, null);
        if (setting == null) {
            section.fault(key, "is missing");
        }
        return setting == null ? "" : setting.value();
    }

    private static InetSocketAddress address(Section section, String key) {
        var setting = section.text(key, null);
        return setting == null || setting.value() == null
                ? null
                : addresses(section, key, List.of(setting.value())).stream()
                        .findFirst()
                        .orElse(null);
    }

    private static List<InetSocketAddress> addresses(
            Section section, String key, List<String> texts) {
        List<InetSocketAddress> parsedAddresses = new ArrayList<>();
        for (String text : texts) {
            try {
                parsedAddresses.add(Address.read(text));
            } catch (BadMessage e) {
                section.fault(
                        key,
                        "holds \""
                                + text
                                + "\", wanted a numeric address and port such as 10.0.0.1:8080");
            }
        }
        return parsedAddresses;
    }

    /** Reads the file that the environment variable names. */
    public static NodeSettings read(Map<String, String> environment) throws SettingsException {
        String file = environment.get(PATH_VARIABLE);
        if (file == null || file.isBlank()) {
            throw new SettingsException(
                    PATH_VARIABLE + " is not set; it must hold the path of the settings file");
        }
        return read(Path.of(file));
    }

    /** Reads a settings file. The exception lists all faults that were found. */
    public static NodeSettings read(Path file) throws SettingsException {
        List<Diagnostic> faults = new ArrayList<>();
        Layers layers = new Layers(faults);
        layers.readAlone(file);
        Section section = layers.section(file, new java.util.HashMap<>());
        if (faults.isEmpty() && !section.has("NodeName")) {
            section.fault("NodeName", "is missing");
        }
        NodeSettings settings = faults.isEmpty() ? new NodeSettings(section) : null;
        if (!faults.isEmpty()) {
            throw new SettingsException(
                    faults.stream().map(Diagnostic::toString).collect(Collectors.joining("; ")));
        }
        return settings;
    }

    /** The number of a zone; -1 if the settings do not list it. */
    public int zoneNumber(String zoneName) {
        return zones.indexOf(zoneName);
    }
}
