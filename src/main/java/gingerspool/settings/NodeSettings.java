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
 * What a process is told in its settings file. Times are milliseconds, rates a second. Keys that
 * aren't asked for are passed over, since new ones may appear.
 */
public final class NodeSettings {
    /** The variable that holds the file's path. */
    public static final String VARIABLE = "GINGERSPOOL_CONFIG";

    private static final int PORT_MOST = 65535;

    public final String name;
    public final String ip;
    public final String zone;

    /** In a fixed order, so that each has a number that is the same everywhere. */
    public final List<String> zones;

    /** The port on which our own processes reach each other. */
    public final int internalPort;

    /** Where machines serve control, by their outer addresses. */
    public final List<InetSocketAddress> seeds;

    public final boolean firstStart;

    /** Each null where it isn't served here. */
    public final InetSocketAddress frontAddress;

    public final InetSocketAddress readinessAddress;
    public final InetSocketAddress controlAddress;
    public final int descriptors;

    /** Null where there is no disk. */
    public final Path dataDirectory;

    public final double diskMb;

    /** How many of the machines that count may be lost at once. */
    public final int toleratedLosses;

    public final double heartbeatInterval;
    public final double contactTimeout;
    public final double drainTimeout;

    /** How soon an acknowledged configuration must be in force everywhere. */
    public final double configurationApplyTimeout;

    public final double gracePeriod;

    /** Requests that instances of one function may turn away as too many within five seconds. */
    public final double rejectionAllowance;

    public final double retryBudgetRatio;
    public final double retryBudgetWindow;
    public final double retryBudgetSlack;

    /** Null where the platform has no interface. */
    public final InetSocketAddress platformAddress;

    public final double platformRate;
    public final double platformListDelay;
    public final double startStopRate;

    private NodeSettings(Section s) {
        name = s.text("NodeName", null).value();
        ip = text(s, "IpAddress");
        zone = text(s, "Zone");
        zones = s.section("Zones").keys().stream().sorted().toList();
        List<Integer> ports = s.wholes("InternalPortRange", 1, PORT_MOST);
        if (ports.isEmpty()) {
            s.fault("InternalPortRange", "is missing or empty, wanted the first and the last port");
        }
        internalPort = ports.isEmpty() ? 0 : ports.get(0);
        seeds = addresses(s, "SeedNodes", s.texts("SeedNodes", List.of()));
        firstStart = s.mark("FirstStart", false).value();
        Section listen = s.section("ListenAddresses");
        frontAddress = address(listen, "FrontAddress");
        readinessAddress = address(listen, "ReadinessAddress");
        controlAddress = address(listen, "ControlAddress");
        descriptors =
                s.section("Limits").whole("FileDescriptors", 1024, 64, Integer.MAX_VALUE).value();
        diskMb = s.section("Limits").number("DiskMb", 0.0, 0, 1e9).value();
        var dir = s.text("DataDirectory", null);
        dataDirectory = dir == null ? null : Path.of(dir.value());
        toleratedLosses = s.section("ToleratedLosses").whole("Machines", 0, 0, 1000).value();
        heartbeatInterval = s.number("HeartbeatIntervalMs", 1000.0, 10, 60_000).value();
        Section bounds = s.section("Bounds");
        contactTimeout = figure(bounds, "ContactMs", 4000);
        drainTimeout = figure(bounds, "DrainMs", 3000);
        configurationApplyTimeout = figure(bounds, "ConfigApplyMs", 3000);
        gracePeriod = 1000 * figure(bounds, "GracePeriodS", 6);
        rejectionAllowance = figure(bounds, "LimitSlack", 10);
        retryBudgetRatio = figure(bounds, "RetryBudgetRatio", 0.2);
        retryBudgetWindow = 1000 * figure(bounds, "BudgetWindowS", 10);
        retryBudgetSlack = figure(bounds, "RetryBudgetSlack", 0);
        Section platform = s.section("Cloud");
        platformAddress = address(platform, "Address");
        platformRate = figure(platform, "RatePerS", 5);
        platformListDelay = figure(platform, "LagMs", 1000);
        startStopRate = figure(platform, "DutyPerS", 10);
    }

    private static double figure(Section s, String key, double other) {
        return s.number(key, other, 0, 1e9).value();
    }

    /** A text that must be there. */
    private static String text(Section s, String key) {
        var said = s.text(key, null);
        if (said == null) {
            s.fault(key, "is missing");
        }
        return said == null ? "" : said.value();
    }

    private static InetSocketAddress address(Section s, String key) {
        var said = s.text(key, null);
        return said == null || said.value() == null
                ? null
                : addresses(s, key, List.of(said.value())).stream().findFirst().orElse(null);
    }

    private static List<InetSocketAddress> addresses(Section s, String key, List<String> texts) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String text : texts) {
            try {
                all.add(Address.read(text));
            } catch (BadMessage e) {
                s.fault(
                        key,
                        "holds \""
                                + text
                                + "\", wanted a numeric address and port such as 10.0.0.1:8080");
            }
        }
        return all;
    }

    /** The file that the environment names. */
    public static NodeSettings read(Map<String, String> environment) throws SettingsException {
        String file = environment.get(VARIABLE);
        if (file == null || file.isBlank()) {
            throw new SettingsException(
                    VARIABLE + " is not set, wanted the path of the settings file");
        }
        return read(Path.of(file));
    }

    public static NodeSettings read(Path file) throws SettingsException {
        List<Diagnostic> faults = new ArrayList<>();
        Layers layers = new Layers(faults);
        layers.readAlone(file);
        Section section = layers.section(file, new java.util.HashMap<>());
        if (faults.isEmpty() && !section.has("NodeName")) {
            section.fault("NodeName", "is missing");
        }
        NodeSettings made = faults.isEmpty() ? new NodeSettings(section) : null;
        if (!faults.isEmpty()) {
            throw new SettingsException(
                    faults.stream().map(Diagnostic::toString).collect(Collectors.joining("; ")));
        }
        return made;
    }

    /** The number of a zone, -1 for one that isn't named here. */
    public int zoneNumber(String of) {
        return zones.indexOf(of);
    }
}
