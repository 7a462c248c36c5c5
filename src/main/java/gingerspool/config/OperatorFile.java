package gingerspool.config;

import gingerspool.dispatch.Profile;
import gingerspool.route.Match;
import gingerspool.route.Policy;
import gingerspool.route.Routes;
import gingerspool.toml.Diagnostic;
import gingerspool.toml.Layers;
import gingerspool.toml.Section;
import gingerspool.toml.SourceLocation;
import gingerspool.toml.SourcedValue;
import gingerspool.toml.Units;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * An operator's file, read with all that it includes and checked as a whole. Call read; if faults()
 * is empty the rest can be used. Nothing here throws on bad input. docs/configuration.md tells
 * every key.
 */
public final class OperatorFile {
    /** The most assignments that any task may have; the operators' own bound. */
    static final int MOST_ASSIGNMENTS = 4;

    private static final List<String> EFFECTS =
            List.of("idempotent", "fingerprinted", "side-effecting");
    private static final List<String> SCOPES = List.of("all", "zone", "cell");
    private static final double YEAR = 365 * 8.64e7;

    /** A [profile.NAME]. */
    static final class ProfilePart {
        String name;
        SourceLocation at;
        SourcedValue<String> effect;
        SourcedValue<Double> expiry;
        SourcedValue<Double> due;
        SourcedValue<Double> window;
        SourcedValue<String> scope;
        double stretch;
        double utility;
        double tardyUtility;
        int priority;
        String kind;
        PolicyPart policy;

        Profile.Effect effect() {
            return switch (effect.value()) {
                case "idempotent" -> Profile.Effect.IDEMPOTENT;
                case "fingerprinted" -> Profile.Effect.FINGERPRINTED;
                default -> Profile.Effect.SIDE_EFFECTING;
            };
        }
    }

    /** A [[route]]. */
    static final class RoutePart {
        String name;
        Section section;
        SourceLocation at;
        Match match;
        PolicyPart policy;
    }

    /** A [[worker]]. */
    record WorkerPart(
            String name, String address, String zone, String kind, int cell, double size) {}

    private final List<Diagnostic> faults = new ArrayList<>();
    private final Map<String, SourcedValue<String>> notes = new LinkedHashMap<>();
    private final List<Path> files;
    final Map<String, ProfilePart> profiles = new LinkedHashMap<>();
    final Map<String, Double> tenants = new LinkedHashMap<>();
    final List<WorkerPart> workers = new ArrayList<>();
    final List<RoutePart> routes = new ArrayList<>();
    PolicyPart defaults;
    final Deployment deployment = new Deployment();
    Limits limits;
    private String logForm;

    /** What [limits] says of the installation. */
    record Limits(int assignments, SourcedValue<Boolean> copies, SourcedValue<Boolean> cancels) {}

    private OperatorFile(Path file) {
        Layers layers = new Layers(faults);
        layers.read(file);
        files = layers.files();
        if (faults.isEmpty()) {
            readAll(layers.section(file, notes));
            new Check(this, faults).run();
        }
        List<Diagnostic> sorted = new ArrayList<>(new LinkedHashSet<>(faults));
        Collections.sort(sorted, (a, b) -> a.at().compareTo(b.at()));
        faults.clear();
        faults.addAll(sorted);
    }

    /** Reads and checks the file; what is wrong with it is in faults(). */
    public static OperatorFile read(Path file) {
        return new OperatorFile(file);
    }

    /** All that is wrong, by file and line; none if the file can be used. */
    public List<Diagnostic> faults() {
        return Collections.unmodifiableList(faults);
    }

    /** Every file that was read, in the order of the layers. */
    public List<Path> files() {
        return files;
    }

    /** What `explain` shows: each key with its value in words and where it was said. */
    public Map<String, SourcedValue<String>> notes() {
        return Collections.unmodifiableMap(notes);
    }

    /** "simple" or "json". */
    public String logForm() {
        return logForm;
    }

    // ---- Reading ----

    private void readAll(Section all) {
        Section log = all.section("log");
        logForm = log.word("form", "simple", List.of("simple", "json")).value();
        log.end();
        deployment.readScheduler(all.section("scheduler"));
        deployment.readSettings(all.section("settings"));
        readLimits(all.section("limits"));
        Section byDefault = all.section("defaults");
        defaults = PolicyPart.read(byDefault);
        byDefault.end();
        all.named("profile").forEach(this::readProfile);
        all.named("tenant")
                .forEach(
                        (name, s) -> {
                            tenants.put(name, s.number("rate_per_s", 0.0, 0, 1e9).value());
                            s.end();
                        });
        all.sections("worker").forEach(this::readWorker);
        all.sections("route").forEach(this::readRoute);
        all.end();
    }

    private void readLimits(Section s) {
        int most = s.whole("assignments", MOST_ASSIGNMENTS, 1, MOST_ASSIGNMENTS).value();
        limits = new Limits(most, s.mark("copies", true), s.mark("cancels", true));
        deployment.readLimits(s);
        s.end();
    }

    private void readProfile(String name, Section s) {
        ProfilePart p = new ProfilePart();
        p.name = name;
        p.at = s.at;
        p.effect = s.word("effect", null, EFFECTS);
        p.expiry = s.span("expiry", null, 1, YEAR);
        if (!name.matches("[A-Za-z0-9._~-]{1,64}")) {
            s.fault(
                    "",
                    "is no name of a profile: letters, digits and . _ ~ - only, 64 at the most");
        }
        if (p.effect == null || p.effect.value() == null) {
            if (!s.has("effect")) {
                s.fault("", "has no effect");
            }
            p.effect = new SourcedValue<>("side-effecting", s.at);
        }
        if (p.expiry == null) {
            if (!s.has("expiry")) {
                s.fault("", "has no expiry");
            }
            p.expiry = new SourcedValue<>(YEAR, s.at);
        }
        p.due = s.span("due", Math.min(1000, p.expiry.value()), 0, YEAR);
        if (p.due.value() > p.expiry.value()) {
            s.fault(
                    "due",
                    "is "
                            + Units.text(p.due.value())
                            + ", beyond the expiry, "
                            + Units.text(p.expiry.value())
                            + where(p.expiry));
        }
        boolean marked = p.effect.value().equals("fingerprinted");
        p.window = s.span("window", 0.0, 0, YEAR);
        p.scope = s.word("scope", "all", SCOPES);
        for (String key : List.of("window", "scope")) {
            if (s.has(key) && !marked) {
                s.fault(key, "has no effect on a profile that is " + p.effect.value());
            }
        }
        p.stretch = s.number("stretch", 1.0, 0, 1000).value();
        p.utility = s.number("utility", 1.0, 0, 1e9).value();
        p.tardyUtility = s.number("tardy_utility", 0.0, 0, 1e9).value();
        p.priority = s.whole("priority", 0, -1000, 1000).value();
        SourcedValue<String> kind = s.text("kind", null);
        p.kind = kind == null ? null : kind.value();
        p.policy = PolicyPart.read(s);
        s.end();
        profiles.put(name, p);
    }

    private void readWorker(Section s) {
        SourcedValue<String> name = s.text("name", null);
        SourcedValue<String> address = s.text("address", null);
        if (name == null || address == null) {
            s.fault("", "needs name and address");
        }
        WorkerPart w =
                new WorkerPart(
                        name == null ? "" : name.value(),
                        address == null ? "" : address.value(),
                        s.text("zone", "").value(),
                        s.text("kind", "").value(),
                        s.whole("cell", 0, 0, 1 << 20).value(),
                        s.number("size", 1.0, 0.01, 1e6).value());
        if (address != null && !Deployment.isAddress(w.address)) {
            s.fault(
                    "address",
                    "is \""
                            + w.address
                            + "\", wanted a numeric address and port such as "
                            + "\"10.0.0.1:8080\"");
        }
        for (WorkerPart o : workers) {
            if (name != null && o.name.equals(w.name)) {
                s.fault("name", "is \"" + w.name + "\", which another worker has");
            }
        }
        s.end();
        workers.add(w);
    }

    private void readRoute(Section s) {
        RoutePart r = new RoutePart();
        r.section = s;
        r.at = s.at;
        SourcedValue<String> name = s.text("name", null);
        r.name = name == null ? "" : name.value();
        if (!s.has("name")) {
            s.fault("", "has no name");
        }
        Section m = s.section("match");
        SourcedValue<String> profile = m.text("profile", null);
        SourcedValue<String> path = m.text("path", null);
        SourcedValue<String> host = m.text("host", null);
        SourcedValue<String> tenant = m.text("tenant", null);
        String pathFault = path == null ? null : Match.pathFault(path.value());
        String hostFault = host == null ? null : Match.hostFault(host.value());
        if (pathFault != null) {
            m.fault("path", pathFault);
            path = null;
        }
        if (hostFault != null) {
            m.fault("host", hostFault);
            host = null;
        }
        m.end();
        r.match = new Match(text(profile), text(path), text(host), text(tenant));
        r.policy = PolicyPart.read(s);
        s.end();
        routes.add(r);
    }

    private static String text(SourcedValue<String> said) {
        return said == null ? null : said.value();
    }

    /** " (FILE:LINE)", or nothing for a default. */
    static String where(SourcedValue<?> said) {
        return said == null || said.at() == null ? "" : " (" + said.at() + ")";
    }

    // ---- What came of it ----

    /**
     * The layers that decide on a profile's tasks by this route (null: by none), the nearest first.
     */
    PolicyPart partFor(RoutePart route, ProfilePart profile) {
        PolicyPart below = profile.policy.over(defaults);
        return route == null ? below : route.policy.over(below);
    }

    /** The policy for a profile's tasks by this route. */
    Policy policyFor(RoutePart route, ProfilePart profile) {
        return partFor(route, profile).policy(limits.assignments());
    }

    /** The rules in their order, as the route package takes them. */
    public List<Routes.Rule> rules() {
        List<Routes.Rule> rules = new ArrayList<>();
        for (RoutePart r : routes) {
            Map<String, Policy> made = new LinkedHashMap<>();
            for (ProfilePart p : profiles.values()) {
                if (r.match.profile() == null || r.match.profile().equals(p.name)) {
                    made.put(p.name, policyFor(r, p));
                }
            }
            rules.add(rule(r.name, "route " + r.name, r.match, made, r.policy));
        }
        for (ProfilePart p : profiles.values()) {
            rules.add(
                    rule(
                            p.name,
                            "profile " + p.name,
                            null,
                            Map.of(p.name, policyFor(null, p)),
                            p.policy));
        }
        return rules;
    }

    /**
     * A limit or budget said by a route is that route's; else it is the profile's, whichever route
     * a task takes.
     */
    private static Routes.Rule rule(
            String name, String owner, Match match, Map<String, Policy> made, PolicyPart own) {
        return new Routes.Rule(
                name,
                match,
                made,
                own.limit == null ? null : owner,
                own.tenantLimit == null ? null : owner,
                own.repeats == null ? null : owner);
    }

    /** The route that a task would take, or null; host, path and tenant may be null. */
    public RouteChoice choose(String profile, String path, String host, String tenant) {
        List<String> why = new ArrayList<>();
        for (RoutePart r : routes) {
            String not = r.match.mismatch(profile, path, host, tenant);
            why.add(r.name + " (" + r.at + "): " + (not == null ? "takes it" : not));
            if (not == null) {
                return new RouteChoice(r.name, why, describe(r, profiles.get(profile)));
            }
        }
        return new RouteChoice(null, why, describe(null, profiles.get(profile)));
    }

    /** Which route, the reason for each looked at, and the policy that holds, a line a key. */
    public record RouteChoice(String name, List<String> why, List<String> policy) {}

    boolean hasProfile(String name) {
        return profiles.containsKey(name);
    }

    /** What the rules depend on: the effect, and the expiry in milliseconds. */
    public record Fact(Profile.Effect effect, double expiry) {}

    /** The facts of each profile, by its name. */
    public Map<String, Fact> profileFacts() {
        Map<String, Fact> facts = new LinkedHashMap<>();
        profiles.forEach((name, p) -> facts.put(name, new Fact(p.effect(), p.expiry.value())));
        return facts;
    }

    /** Whether it says all that a scheduler needs without the platform. */
    public boolean isWhole() {
        return deployment.isWhole();
    }

    public int routeCount() {
        return routes.size();
    }

    /** The names of the profiles, in order. */
    public List<String> profileNames() {
        return new ArrayList<>(profiles.keySet());
    }

    private List<String> describe(RoutePart r, ProfilePart p) {
        return p == null ? List.of() : Explain.policy(partFor(r, p), p, limits.assignments());
    }

    /** The deployment in the form of the platform's configuration; see Deployment. */
    public Map<String, Object> deployment() {
        return deployment.tree(this);
    }
}
