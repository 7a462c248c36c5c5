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
 * The one place where a deployment's settings are read, checked and given defaults, for every host
 * of the module: what the Dispatcher is told, the names under which the outside knows it, what a
 * host needs besides.
 */
public final class Configuration {
    private static final Logger LOG = LoggerFactory.getLogger(Configuration.class);

    public final DispatcherSettings settings = new DispatcherSettings();
    public final Map<String, Profile> profiles = new HashMap<>();
    public final Map<String, Integer> tenants = new HashMap<>();
    public final Map<String, Integer> zones = new HashMap<>();
    public final Map<String, Integer> kinds = new LinkedHashMap<>();

    /** The values that load reports hold, under the settings' names. */
    public final Map<String, Integer> reportPlaces = new LinkedHashMap<>();

    public final LoadReport reports;

    /** How long workers let a connection rest, and how long one may take to come up. */
    public final double connectionIdle;

    public final double connectWithin;
    public final int mostTasks;

    /**
     * The most that the bodies of tasks in hand may hold together, in bytes; 0 where nothing is
     * said.
     */
    public final long mostBytes;

    public final double longestExpiry;

    /** How long after the expiry an answer still counts. */
    public final double answerGrace;

    /**
     * Reads what the simulator's first message, or the key `settings` of a daemon's file, holds.
     */
    public Configuration(Object tree) throws ConfigurationException {
        Key all = new Key("settings", tree).needed().object();
        readNames(all);
        readProfiles(all);
        longestExpiry = Arrays.stream(settings.profiles).mapToDouble(p -> p.expiry).max().orElse(0);
        readWorkers(all);
        Key limits = all.at("limits").object();
        readLimits(all, limits);
        connectionIdle = limits.at("connIdleMs").number(5000);
        connectWithin = Math.max(1, limits.at("connectTimeoutMs").number(250));
        mostTasks = Math.max(1, limits.at("maxOpen").whole(20_000));
        mostBytes = (long) limits.at("bodyBytes").number(0);
        answerGrace = all.at("obligations").at("graceToAnswerMs").number(0);
        Key specifics = all.at("specifics").object();
        reports =
                new LoadReport(
                        specifics.at("reportX0").text(""), specifics.at("reportX1").text(""));
        for (Key k : all.at("loadInfo").at("names").list()) {
            String name = k.text("");
            reportPlaces.put(name, reports.place(name));
        }
        settings.reportNames = reportPlaces.keySet().toArray(String[]::new);
    }

    private void readNames(Key all) throws ConfigurationException {
        for (Key z : all.at("localities").list()) {
            zones.putIfAbsent(z.text(""), zones.size());
        }
        for (Key k : all.at("flavors").list()) {
            kinds.putIfAbsent(k.text(""), kinds.size());
        }
        settings.kinds = kinds.keySet().toArray(String[]::new);
        settings.place = all.at("locality").text("");
        settings.zone = zones.getOrDefault(settings.place, -1);
        settings.dispatchers = Math.max(1, all.at("groupSize").whole(1));
        List<Key> list = all.at("tenants").list();
        settings.allowance = new double[list.size()];
        for (int i = 0; i < list.size(); i++) {
            tenants.put(list.get(i).at("name").text(""), i);
            settings.allowance[i] = list.get(i).at("allowancePerS").number(0);
        }
    }

    private void readProfiles(Key all) throws ConfigurationException {
        List<Key> list = all.at("profiles").list();
        if (list.isEmpty()) {
            throw all.at("profiles").fault("has no entry");
        }
        Key specifics = all.at("specifics").object();
        settings.profiles = new Profile[list.size()];
        for (int i = 0; i < list.size(); i++) {
            Key k = list.get(i).object();
            Profile p = new Profile();
            p.index = i;
            p.name = k.at("name").needed().text("");
            p.dueTime = k.at("dueTimeMs").number(0);
            p.expiry = k.at("expiryMs").number(0);
            p.utility = k.at("utility").number(1);
            p.tardyUtility = k.at("tardyUtility").number(0);
            p.window = k.at("windowMs").number(0);
            p.effect =
                    switch (k.at("effect").text("")) {
                        case "safe" -> Profile.Effect.IDEMPOTENT;
                        case "keyed" -> Profile.Effect.FINGERPRINTED;
                        default -> Profile.Effect.SIDE_EFFECTING;
                    };
            p.scope =
                    switch (k.at("dedupScope").text("")) {
                        case "all" -> Profile.Scope.ALL;
                        case "zone" -> Profile.Scope.ZONE;
                        default -> Profile.Scope.CELL;
                    };
            if (k.at("oneAtATime").mark()) {
                throw k.at("oneAtATime")
                        .fault("asks for tasks of a key in turn, which no longer is kept");
            }
            p.kind = (int) specifics.at("classKind").place(i).any(-1);
            p.prio = (int) specifics.at("classPriority").place(i).any(0);
            p.stretch = k.at("aimStretch").number(specifics.at("classStretch").place(i).number(0));
            settings.profiles[i] = p;
            profiles.put(p.name, p);
        }
    }

    private void readWorkers(Key all) throws ConfigurationException {
        String via = all.at("loadInfo").object().at("via").text("");
        settings.reportsByProbe = via.equals("pull");
        settings.reportsInAnswers = via.equals("piggyback");
        settings.listOnRequest = all.at("discovery").text("").equals("ask");
        settings.order =
                switch (all.at("specifics").at("queueOrder").text("")) {
                    case "priority" -> DispatcherSettings.Order.PRIORITY;
                    case "backfill" -> DispatcherSettings.Order.BACKFILL;
                    default -> DispatcherSettings.Order.FIRST_COME;
                };
        settings.progressEvery = all.at("specifics").at("progressMs").number(0);
        settings.tellsStart = all.at("specifics").at("tellsStart").mark();
    }

    private void readLimits(Key all, Key limits) throws ConfigurationException {
        DispatcherSettings s = settings;
        s.excessUtility = all.at("excessUtility").number(1);
        s.utilityByWork = all.at("utilityBy").text("").equals("work");
        s.mayProbe = limits.at("probes").mark();
        s.mayCancel = limits.at("cancelling").mark();
        s.mayTell = limits.at("mayTell").mark();
        s.tellFee = all.at("fees").object().at("peer").number(0);
        s.mayAdvise = limits.at("retryAfter").mark();
        s.maxAdvice = limits.at("maxRetryAfterMs").number(0);
        s.mostAssignments = limits.at("mostAssignments").whole(1);
        Key rules = all.at("obligations").object();
        s.askWithin = rules.at("askWithinMs").number(0);
        s.drainBindsAlone = rules.at("drainBindsAlone").mark();
        Key goal = all.at("goal").object();
        s.worstProfile = Math.min(0.9, goal.at("worstClass").number(0));
        s.tail = goal.at("tail").number(0);
        s.borneMisses = goal.at("borneMisses").number(0);
        if (s.tail > 0 && goal.at("borneMisses").raw() == null) {
            throw goal.at("borneMisses").fault("is missing, and goal.tail needs it");
        }
        s.coldFrom = rules.at("coldFrom").number(1);
        s.warmWithin = rules.at("warmWithinMs").number(0);
        s.fallWindow = rules.at("fallMs").number(0);
        s.overloadFactor = rules.at("overloadFactor").number(1);
        s.tick = all.at("tickMs").number(1);
        if (all.at("fees").at("origin").number(0) > 0) {
            LOG.warn("settings.fees.origin: tasks are no longer kept where their key is");
        }
        s.probeFee = all.at("fees").object().at("probe").number(0);
        s.crossFee = all.at("fees").object().at("crossZone").number(0);
    }
}
