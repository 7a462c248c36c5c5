package gingerspool.config;

import gingerspool.toml.Section;
import gingerspool.toml.SourceLocation;
import gingerspool.toml.SourcedValue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What an operator's file says of an installation without the platform: [scheduler], [settings],
 * [limits], and the profiles, tenants and workers. tree() gives it in the form of the platform's
 * configuration, so that there is one reader of settings (daemon.Configuration) and one set of
 * defaults.
 */
final class Deployment {
    private static final double DAY = 8.64e7;
    private static final Pattern ADDRESS =
            Pattern.compile(
                    "(?:(\\[[0-9a-fA-F:.]{2,45}\\])|(\\d{1,3})\\.(\\d{1,3})"
                            + "\\.(\\d{1,3})\\.(\\d{1,3})):(\\d{1,5})");
    private static final List<String> ORDERS = List.of("first-come", "backfill", "priority");
    private static final List<String> REPORTS = List.of("none", "probe", "answers");
    private static final List<String> LISTS = List.of("pushed", "asked");
    private static final List<String> EXTRAS = List.of("none", "free slots", "free memory");

    private final Map<String, Object> node = new HashMap<>();
    private final Map<String, Object> nodeLimits = new HashMap<>();
    private final Map<String, Object> settings = new HashMap<>();
    private final Map<String, Object> limits = new HashMap<>();
    private final Map<String, Object> duties = new HashMap<>();
    private final Map<String, Object> specifics = new HashMap<>();
    private boolean listens;
    private SourceLocation listPlace;

    private static void put(Map<String, Object> to, String name, SourcedValue<?> said) {
        if (said != null && said.value() != null) {
            to.put(
                    name,
                    said.value() instanceof Integer i ? (Object) i.doubleValue() : said.value());
        }
    }

    /** A numeric address and port; nothing is ever looked up. */
    static boolean isAddress(String text) {
        Matcher m = ADDRESS.matcher(text);
        if (!m.matches() || Integer.parseInt(m.group(6)) > 65535) {
            return false;
        }
        for (int i = 2; i <= 5 && m.group(1) == null; i++) {
            if (Integer.parseInt(m.group(i)) > 255) {
                return false;
            }
        }
        return true;
    }

    private static SourcedValue<String> address(Section s, String key) {
        SourcedValue<String> said = s.text(key, null);
        if (said != null && !isAddress(said.value())) {
            s.fault(
                    key,
                    "is \""
                            + said.value()
                            + "\", wanted a numeric address and port such as "
                            + "\"127.0.0.1:8080\"");
        }
        return said;
    }

    void readScheduler(Section s) {
        put(node, "name", s.text("name", null));
        put(node, "listen", address(s, "listen"));
        put(node, "discovery", address(s, "discovery"));
        listens = s.has("listen");
        listPlace = s.has("discovery") ? s.placeOf("discovery") : null;
        SourcedValue<String> seed = s.text("seed", null);
        if (seed != null && !seed.value().matches("[0-9a-fA-F]{1,16}")) {
            s.fault("seed", "is \"" + seed.value() + "\", wanted up to 16 hex digits");
        }
        put(node, "seed", seed);
        put(nodeLimits, "sockets", s.whole("descriptors", 1024, 64, 1 << 20));
        s.end();
    }

    void readSettings(Section s) {
        put(settings, "locality", s.text("zone", null));
        put(settings, "groupSize", s.whole("schedulers", 1, 1, 1 << 20));
        String list = s.word("list", "pushed", LISTS).value();
        settings.put("discovery", list.equals("asked") ? "ask" : "push");
        String reports = s.word("reports", "none", REPORTS).value();
        settings.put(
                "loadInfo",
                Map.of(
                        "via",
                        reports.equals("probe")
                                ? "pull"
                                : reports.equals("answers") ? "piggyback" : "none"));
        limits.put("probes", reports.equals("probe"));
        specifics.put("queueOrder", s.word("order", "first-come", ORDERS).value());
        put(specifics, "tellsStart", s.mark("tells_start", false));
        put(specifics, "progressMs", s.span("progress_every", 0.0, 0, DAY));
        for (String x : List.of("x0", "x1")) {
            String what = s.word("report_" + x, "none", EXTRAS).value();
            specifics.put("report" + x.toUpperCase(Locale.ROOT), what);
        }
        settings.put("utilityBy", s.mark("utility_by_work", false).value() ? "work" : "task");
        put(settings, "excessUtility", s.number("excess_utility", 1.0, 0, 1));
        put(settings, "tickMs", s.span("tick", 1.0, 0.1, 1000));
        settings.put(
                "fees",
                Map.of(
                        "crossZone",
                        s.number("cross_zone_fee", 0.0, 0, 1e9).value(),
                        "probe",
                        s.number("probe_fee", 0.0, 0, 1e9).value()));
        settings.put("goal", Map.of("worstClass", s.number("worst_profile", 0.0, 0, 0.9).value()));
        put(duties, "askWithinMs", s.span("ask_within", 10_000.0, 100, DAY));
        put(duties, "graceToAnswerMs", s.span("answer_grace", 5.0, 0, 10_000));
        Section cold = s.section("cold");
        put(duties, "coldFrom", cold.number("from", 1.0, 0.01, 1));
        put(duties, "warmWithinMs", cold.span("warm_within", 0.0, 0, DAY));
        put(duties, "fallMs", cold.span("window", 0.0, 0, DAY));
        put(duties, "overloadFactor", cold.number("overload", 1.0, 0.1, 100));
        cold.end();
        s.end();
    }

    void readLimits(Section s) {
        put(limits, "maxOpen", s.whole("tasks", 20_000, 1, 10_000_000));
        put(limits, "bodyBytes", s.size("bodies", null, 65536, 1e12));
        put(limits, "connIdleMs", s.span("connection_idle", 5000.0, 10, DAY));
        put(limits, "connectTimeoutMs", s.span("connect_within", 250.0, 1, 60_000));
        SourcedValue<Double> advice = s.span("advice", 1000.0, 0, DAY);
        limits.put("retryAfter", advice.value() > 0);
        put(limits, "maxRetryAfterMs", advice);
    }

    /** Whether it says all that a scheduler needs without the platform. */
    boolean isWhole() {
        return listens;
    }

    SourceLocation listPlace() {
        return listPlace;
    }

    Map<String, Object> tree(OperatorFile file) {
        Map<String, Object> all = new HashMap<>(node);
        all.putIfAbsent("seed", Long.toHexString(new SplittableRandom().nextLong()));
        all.put("limits", nodeLimits);
        Set<String> zones = new LinkedHashSet<>();
        Set<String> kinds = new LinkedHashSet<>();
        List<Object> hosts = new ArrayList<>();
        if (settings.get("locality") instanceof String zone) {
            zones.add(zone);
        }
        for (OperatorFile.WorkerPart w : file.workers) {
            zones.add(w.zone());
            kinds.add(w.kind());
            hosts.add(
                    Map.of(
                            "host",
                            w.name(),
                            "dial",
                            w.address(),
                            "site",
                            w.zone(),
                            "class",
                            w.kind(),
                            "block",
                            (double) w.cell(),
                            "health",
                            "SERVING",
                            "share",
                            w.size(),
                            "born_ms",
                            0.0));
        }
        if (!hosts.isEmpty()) {
            all.put("fixedList", true);
            all.put("known", Map.of("seq", 0.0, "whole", true, "hosts", hosts));
        }
        Map<String, Object> s = new HashMap<>(settings);
        List<Object> profiles = new ArrayList<>();
        List<Object> priorities = new ArrayList<>();
        List<Object> ofKinds = new ArrayList<>();
        file.profiles
                .values()
                .forEach(
                        p -> {
                            if (p.kind != null) {
                                kinds.add(p.kind);
                            }
                            priorities.add((double) p.priority);
                            ofKinds.add(
                                    p.kind == null ? -1.0 : new ArrayList<>(kinds).indexOf(p.kind));
                            profiles.add(profile(p));
                        });
        s.put("profiles", profiles);
        s.put("localities", new ArrayList<>(zones));
        s.put("flavors", new ArrayList<>(kinds));
        List<Object> tenants = new ArrayList<>();
        file.tenants.forEach(
                (name, rate) -> tenants.add(Map.of("name", name, "allowancePerS", rate)));
        s.put("tenants", tenants);
        Map<String, Object> l = new HashMap<>(limits);
        l.put("mostAssignments", (double) file.limits.assignments());
        l.put("cancelling", file.limits.cancels().value());
        s.put("limits", l);
        s.put("obligations", duties);
        Map<String, Object> x = new HashMap<>(specifics);
        x.put("classPriority", priorities);
        x.put("classKind", ofKinds);
        s.put("specifics", x);
        all.put("settings", s);
        return all;
    }

    private static Map<String, Object> profile(OperatorFile.ProfilePart p) {
        Map<String, Object> m = new HashMap<>();
        m.put("name", p.name);
        m.put(
                "effect",
                switch (p.effect()) {
                    case IDEMPOTENT -> "safe";
                    case FINGERPRINTED -> "keyed";
                    default -> "unsafe";
                });
        m.put("dueTimeMs", p.due.value());
        m.put("expiryMs", p.expiry.value());
        m.put("utility", p.utility);
        m.put("tardyUtility", p.tardyUtility);
        m.put("windowMs", p.window.value());
        m.put("dedupScope", p.scope.value());
        m.put("aimStretch", p.stretch);
        return m;
    }
}
