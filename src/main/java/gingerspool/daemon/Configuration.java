package gingerspool.daemon;

import gingerspool.dispatch.DispatcherSettings;
import gingerspool.dispatch.Profile;
import gingerspool.wire.LoadReport;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The settings of a deployment: reads and checks them and applies the defaults, for the daemon and
 * for the simulator. Holds the settings of the Dispatcher, the names that clients and discovery use
 * for profiles, tenants, zones and worker kinds, and what the host itself needs.
 */
public final class Configuration {
    private static final Logger LOG = LoggerFactory.getLogger(Configuration.class);

    public final DispatcherSettings settings = new DispatcherSettings();

    /** Profiles by name. */
    public final Map<String, Profile> profiles = new HashMap<>();

    /** Indexes of tenants by name. */
    public final Map<String, Integer> tenants = new HashMap<>();

    /** Indexes of zones by name. */
    public final Map<String, Integer> zones = new HashMap<>();

    /** Indexes of worker kinds by name. */
    public final Map<String, Integer> kinds = new LinkedHashMap<>();

    /** The index of each value in a load report, by its name in the settings. */
    public final Map<String, Integer> reportIndexes = new LinkedHashMap<>();

    public final LoadReport loadReport;

    /** How long workers keep an idle connection open, in milliseconds. */
    public final double connectionIdleTimeout;

    /** The maximum time to establish a connection, in milliseconds. */
    public final double connectTimeout;

    /** The maximum number of tasks in progress. */
    public final int maxTasks;

    /**
     * The maximum size of the bodies of all tasks in progress together, in bytes; 0 if not
     * configured.
     */
    public final long maxBodyBytes;

    /** The longest expiry of all profiles, in milliseconds. */
    public final double maxExpiry;

    /** How long after the expiry an answer still counts, in milliseconds. */
    public final double answerGrace;

    /**
     * Reads the settings from the simulator's first message, or from the key `settings` of a
     * daemon's configuration file.
     */
    public Configuration(Object tree) throws ConfigurationException {
        ConfigurationValue root = new ConfigurationValue("settings", tree).required().object();
        readNames(root);
        readProfiles(root);
        maxExpiry = Arrays.stream(settings.profiles).mapToDouble(p -> p.expiry).max().orElse(0);
        readReportingAndOrder(root);
        ConfigurationValue limits = root.at("limits").object();
        readLimits(root, limits);
        connectionIdleTimeout = limits.at("connIdleMs").number(5000);
        connectTimeout = Math.max(1, limits.at("connectTimeoutMs").number(250));
        maxTasks = Math.max(1, limits.at("maxOpen").integer(20_000));
        maxBodyBytes = (long) limits.at("bodyBytes").number(0);
        answerGrace = root.at("obligations").at("graceToAnswerMs").number(0);
        ConfigurationValue specifics = root.at("specifics").object();
        loadReport =
                new LoadReport(
                        specifics.at("reportX0").text(""), specifics.at("reportX1").text(""));
        for (ConfigurationValue valueName : root.at("loadInfo").at("names").list()) {
            String name = valueName.text("");
            reportIndexes.put(name, loadReport.place(name));
        }
        settings.reportNames = reportIndexes.keySet().toArray(String[]::new);
    }

    private void readNames(ConfigurationValue root) throws ConfigurationException {
        for (ConfigurationValue zone : root.at("localities").list()) {
            zones.putIfAbsent(zone.text(""), zones.size());
        }
        for (ConfigurationValue kind : root.at("flavors").list()) {
            kinds.putIfAbsent(kind.text(""), kinds.size());
        }
        settings.kinds = kinds.keySet().toArray(String[]::new);
        settings.zoneName = root.at("locality").text("");
        settings.zone = zones.getOrDefault(settings.zoneName, -1);
        settings.dispatchers = Math.max(1, root.at("groupSize").integer(1));
        List<ConfigurationValue> list = root.at("tenants").list();
        settings.allowance = new double[list.size()];
        for (int i = 0; i < list.size(); i++) {
            tenants.put(list.get(i).at("name").text(""), i);
            settings.allowance[i] = list.get(i).at("allowancePerS").number(0);
        }
    }

    private void readProfiles(ConfigurationValue root) throws ConfigurationException {
        List<ConfigurationValue> list = root.at("profiles").list();
        if (list.isEmpty()) {
            throw root.at("profiles").fault("has no entry");
        }
        ConfigurationValue specifics = root.at("specifics").object();
        settings.profiles = new Profile[list.size()];
        for (int i = 0; i < list.size(); i++) {
            ConfigurationValue profile = list.get(i).object();
            Profile p = new Profile();
            p.index = i;
            p.name = profile.at("name").required().text("");
            p.dueTime = profile.at("dueTimeMs").number(0);
            p.expiry = profile.at("expiryMs").number(0);
            p.utility = profile.at("utility").number(1);
            p.tardyUtility = profile.at("tardyUtility").number(0);
            p.dedupWindow = profile.at("windowMs").number(0);
            p.effect =
                    switch (profile.at("effect").text("")) {
                        case "safe" -> Profile.Effect.IDEMPOTENT;
                        case "keyed" -> Profile.Effect.FINGERPRINTED;
                        default -> Profile.Effect.SIDE_EFFECTING;
                    };
            p.scope =
                    switch (profile.at("dedupScope").text("")) {
                        case "all" -> Profile.Scope.ALL;
                        case "zone" -> Profile.Scope.ZONE;
                        default -> Profile.Scope.CELL;
                    };
            if (profile.at("oneAtATime").flag()) {
                throw profile.at("oneAtATime")
                        .fault("asks for one task per key at a time, which is no longer supported");
            }
            p.kind = (int) specifics.at("classKind").entry(i).signedNumber(-1);
            p.priority = (int) specifics.at("classPriority").entry(i).signedNumber(0);
            p.stretch =
                    profile.at("aimStretch")
                            .number(specifics.at("classStretch").entry(i).number(0));
            settings.profiles[i] = p;
            profiles.put(p.name, p);
        }
    }

    private void readReportingAndOrder(ConfigurationValue root) throws ConfigurationException {
        String via = root.at("loadInfo").object().at("via").text("");
        settings.reportsByProbe = via.equals("pull");
        settings.reportsInAnswers = via.equals("piggyback");
        settings.listOnRequest = root.at("discovery").text("").equals("ask");
        settings.order =
                switch (root.at("specifics").at("queueOrder").text("")) {
                    case "priority" -> DispatcherSettings.Order.PRIORITY;
                    case "backfill" -> DispatcherSettings.Order.BACKFILL;
                    default -> DispatcherSettings.Order.FIRST_COME;
                };
        settings.progressInterval = root.at("specifics").at("progressMs").number(0);
        settings.notifiesStart = root.at("specifics").at("tellsStart").flag();
    }

    private void readLimits(ConfigurationValue root, ConfigurationValue limits)
            throws ConfigurationException {
        DispatcherSettings s = settings;
        s.excessUtility = root.at("excessUtility").number(1);
        s.utilityByWork = root.at("utilityBy").text("").equals("work");
        s.mayProbe = limits.at("probes").flag();
        s.mayCancel = limits.at("cancelling").flag();
        s.mayMessagePeers = limits.at("mayTell").flag();
        s.peerMessageFee = root.at("fees").object().at("peer").number(0);
        s.mayAdviseRetryAfter = limits.at("retryAfter").flag();
        s.maxRetryAfter = limits.at("maxRetryAfterMs").number(0);
        s.maxAssignments = limits.at("mostAssignments").integer(1);
        ConfigurationValue rules = root.at("obligations").object();
        s.listRequestWindow = rules.at("askWithinMs").number(0);
        s.drainBindsAlone = rules.at("drainBindsAlone").flag();
        ConfigurationValue goal = root.at("goal").object();
        s.worstProfileWeight = Math.min(0.9, goal.at("worstClass").number(0));
        s.tailWeight = goal.at("tail").number(0);
        s.toleratedMissShare = goal.at("borneMisses").number(0);
        if (s.tailWeight > 0 && goal.at("borneMisses").raw() == null) {
            throw goal.at("borneMisses").fault("is missing, and goal.tail needs it");
        }
        s.coldShare = rules.at("coldFrom").number(1);
        s.warmUpSpan = rules.at("warmWithinMs").number(0);
        s.coldWindow = rules.at("fallMs").number(0);
        s.overloadFactor = rules.at("overloadFactor").number(1);
        s.tick = root.at("tickMs").number(1);
        if (root.at("fees").at("origin").number(0) > 0) {
            LOG.warn("settings.fees.origin: ignored, tasks are no longer kept where their key is");
        }
        s.probeFee = root.at("fees").object().at("probe").number(0);
        s.zoneFee = root.at("fees").object().at("crossZone").number(0);
    }
}
