package gingerspool.scenario;

import gingerspool.toml.Diagnostic;
import gingerspool.toml.Layers;
import gingerspool.toml.Section;
import gingerspool.toml.SourcedValue;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a scenario from TOML, with the same layers, units and complaints as the operator's file. If
 * faults() is empty scenario() can be played. docs/experiments.md tells every key.
 */
public final class ScenarioFile {
    private static final double HOUR = 3.6e6;
    private static final List<String> EFFECTS =
            List.of("idempotent", "fingerprinted", "side-effecting");
    private static final List<String> ORDERS = List.of("first-come", "backfill", "priority");

    /** Which process of a scheduler a pause may befall. */
    private static final List<String> PROCESSES = List.of("serving", "newest", "before");

    private static final List<String> PAUSES = List.of("scheduler-paused", "tool-paused");

    /** A process that stands still for longer is taken for one that was left so. */
    private static final double MOST_PAUSE = 10_000;

    /** Every fault, with the keys besides at, for and who that it takes. */
    private static final Map<String, List<String>> FAULTS = new LinkedHashMap<>();

    static {
        FAULTS.put("stall", List.of());
        FAULTS.put("slow", List.of("factor"));
        FAULTS.put("fail-fast", List.of("profile"));
        FAULTS.put("neighbour", List.of("factor"));
        FAULTS.put("reports-late", List.of("factor"));
        FAULTS.put("reports-absurd", List.of());
        FAULTS.put("cut", List.of());
        FAULTS.put("kill", List.of());
        FAULTS.put("kill-on-taking", List.of());
        FAULTS.put("call-back-lost", List.of("share"));
        FAULTS.put("call-back-repeated", List.of("factor"));
        FAULTS.put("call-back-late", List.of("factor"));
        FAULTS.put("reset", List.of("bytes", "share"));
        FAULTS.put("answer-cut", List.of("bytes", "share"));
        FAULTS.put("discovery-down", List.of());
        FAULTS.put("discovery-slow", List.of("factor"));
        FAULTS.put("discovery-back", List.of());
        FAULTS.put("rolling", List.of("every"));
        FAULTS.put("drain", List.of());
        FAULTS.put("shrink", List.of("factor"));
        FAULTS.put("burst", List.of("factor"));
        FAULTS.put("heavy-tail", List.of("factor"));
        FAULTS.put("scheduler-killed", List.of("scheduler"));
        FAULTS.put("scheduler-terminated", List.of("scheduler"));
        FAULTS.put("scheduler-replaced", List.of("scheduler"));
        FAULTS.put("scheduler-hangup", List.of("scheduler"));
        FAULTS.put("heir-killed", List.of("scheduler"));
        FAULTS.put("scheduler-drained", List.of("scheduler"));
        FAULTS.put("scheduler-paused", List.of("scheduler", "process"));
        FAULTS.put("suspend", List.of());
        FAULTS.put("tool-paused", List.of());
        FAULTS.put("disk-slow", List.of());
    }

    private final List<Diagnostic> faults = new ArrayList<>();
    private final Map<String, SourcedValue<String>> notes = new LinkedHashMap<>();
    private final Scenario s = new Scenario();
    private final Path file;

    private ScenarioFile(Path file) {
        this.file = file;
        Layers layers = new Layers(faults);
        layers.read(file);
        if (faults.isEmpty()) {
            read(layers.section(file, notes));
        }
        Collections.sort(faults, (a, b) -> a.at().compareTo(b.at()));
    }

    public static ScenarioFile read(Path file) {
        return new ScenarioFile(file);
    }

    public List<Diagnostic> faults() {
        return Collections.unmodifiableList(faults);
    }

    public Scenario scenario() {
        return s;
    }

    private void read(Section all) {
        String plain = file.getFileName().toString().replaceAll("\\.toml$", "");
        s.name = all.text("name", plain).value();
        s.seed = all.whole("seed", 1, 0, Integer.MAX_VALUE).value();
        s.length = all.span("length", 10_000.0, 100, HOUR).value();
        s.drain = all.span("drain", 2000.0, 0, HOUR).value();
        fleet(all.section("fleet"));
        schedulers(all.section("schedulers"));
        all.named("profile").forEach(this::kind);
        all.named("tenant")
                .forEach(
                        (name, t) -> {
                            s.tenants.add(
                                    new Scenario.Tenant(
                                            name,
                                            t.number("share", 1.0, 0, 1e6).value(),
                                            t.number("rate_per_s", 1e9, 0, 1e9).value()));
                            t.end();
                        });
        load(all.section("load"));
        all.sections("fault").forEach(this::fault);
        if (s.kinds.isEmpty()) {
            all.fault("profile", "is missing: there is nothing to ask for");
        }
        all.end();
    }

    private void fleet(Section t) {
        Scenario.Fleet f = s.fleet;
        f.workers = t.whole("workers", 4, 1, 10_000).value();
        f.zones = t.texts("zones", List.of("a"));
        f.slots = t.whole("slots", 4, 1, 10_000).value();
        f.cores = t.number("cores", (double) f.slots, 0.01, 10_000).value();
        f.memory = t.number("memory", (double) f.slots, 0.01, 1e9).value();
        f.queue = t.whole("queue", 64, 0, 1_000_000).value();
        f.order = t.word("order", "first-come", ORDERS).value();
        f.speed = t.number("speed", 1.0, 0.001, 1000).value();
        f.speedSpread = t.number("speed_spread", 0.0, 0, 3).value();
        Section cold = t.section("cold");
        f.coldFrom = cold.number("from", 1.0, 0.01, 1).value();
        f.warmWithin = cold.span("warm_within", 0.0, 0, HOUR).value();
        f.overload = cold.number("overload", 4.0, 0.1, 1000).value();
        f.coldWindow = cold.span("window", 1000.0, 1, HOUR).value();
        cold.end();
        f.connections = t.whole("connections", 256, 1, 100_000).value();
        f.handshake = t.span("handshake", 0.0, 0, 10_000).value();
        f.idleClose = t.span("idle_close", 5000.0, 10, HOUR).value();
        f.reports = t.word("reports", "answers", List.of("none", "probe", "answers")).value();
        f.reportAge = t.span("report_age", 0.0, 0, HOUR).value();
        f.reportNoise = t.number("report_noise", 0.0, 0, 10).value();
        f.tellsStart = t.mark("tells_start", true).value();
        f.cancels = t.mark("cancels", true).value();
        f.fails = t.number("fails", 0.0, 0, 1).value();
        f.grace = t.span("grace", 500.0, 0, HOUR).value();
        f.deemedTold = t.span("deemed_told", 6000.0, 0, HOUR).value();
        t.end();
    }

    private void schedulers(Section t) {
        Scenario.Schedulers c = s.schedulers;
        c.count = t.whole("count", 1, 1, 200).value();
        c.descriptors = t.whole("descriptors", 1024, 64, 1 << 20).value();
        c.assignments = t.whole("assignments", 3, 1, 4).value();
        c.copies = t.mark("copies", false).value();
        SourcedValue<String> operators = t.text("file", null);
        c.file = operators == null ? null : operators.value();
        c.zones = t.texts("zones", s.fleet.zones);
        c.pinFrom = t.whole("pin_from", -1, -1, 1023).value();
        c.advice = t.span("advice", 500.0, 0, HOUR).value();
        t.end();
    }

    private void kind(String name, Section t) {
        Scenario.Kind k = new Scenario.Kind();
        k.name = name;
        if (!name.matches("[A-Za-z0-9._~-]{1,64}")) {
            t.fault(
                    "",
                    "is no name of a profile: letters, digits and . _ ~ - only, 64 at the most");
        }
        k.effect = t.word("effect", "idempotent", EFFECTS).value();
        k.expiry = t.span("expiry", 2000.0, 10, HOUR).value();
        k.due = t.span("due", k.expiry / 2, 1, HOUR).value();
        if (k.due > k.expiry) {
            t.fault("due", "is beyond the expiry");
        }
        k.window = t.span("window", k.expiry, 0, HOUR).value();
        k.scope = t.word("scope", "all", List.of("all", "zone", "cell")).value();
        k.utility = t.number("utility", 1.0, 0, 1e9).value();
        k.tardyUtility = t.number("tardy_utility", 0.0, 0, 1e9).value();
        k.share = t.number("share", 1.0, 0, 1e6).value();
        k.work = t.span("work", 20.0, 0.01, HOUR).value();
        k.spread = t.number("spread", 0.5, 0, 3).value();
        SourcedValue<Double> tail = t.number("tail", null, 1.01, 100);
        k.tail = tail == null ? 0 : tail.value();
        k.width = t.whole("width", 1, 1, 10_000).value();
        k.memory = t.number("memory", 0.0, 0, 1e9).value();
        if (k.width > s.fleet.slots || k.memory > s.fleet.memory) {
            t.fault(k.width > s.fleet.slots ? "width" : "memory", "is more than any worker has");
        }
        k.hintSpread = t.number("hint_spread", -1.0, -1, 5).value();
        k.priority = t.whole("priority", 0, -1000, 1000).value();
        t.end();
        s.kinds.put(name, k);
    }

    private void load(Section t) {
        Scenario.Load l = s.load;
        l.rate = t.number("rate_per_s", 50.0, 0.001, 1e6).value();
        String arrivals =
                t.word("arrivals", "poisson", List.of("poisson", "bursts", "ramp", "trace"))
                        .value();
        l.arrivals = Scenario.Arrivals.valueOf(arrivals.toUpperCase(java.util.Locale.ROOT));
        Section burst = t.section("burst");
        l.burstEvery = burst.span("every", 2000.0, 1, HOUR).value();
        l.burstLength = burst.span("length", 200.0, 1, HOUR).value();
        l.burstFactor = burst.number("factor", 5.0, 1, 1e6).value();
        burst.end();
        l.rampTo = t.number("ramp_to", l.rate, 0.001, 1e6).value();
        SourcedValue<String> trace = t.text("trace", null);
        l.trace = trace == null ? null : trace.value();
        if (l.arrivals == Scenario.Arrivals.TRACE && trace == null) {
            t.fault("", "needs trace: a file with a line for each request");
        }
        l.connections = t.whole("connections", 1000, 1, 100_000).value();
        l.retries = t.whole("retries", 0, 0, 100).value();
        l.retryPause = t.span("retry_pause", 100.0, 1, HOUR).value();
        l.honoursAdvice = t.mark("honours_advice", true).value();
        l.marksRetries = t.mark("marks_retries", true).value();
        l.keepsOn = t.number("keeps_on", 0.0, 0, 1).value();
        l.leaves = t.number("leaves", 0.0, 0, 1).value();
        l.slowHeads = t.number("slow_heads_per_s", 0.0, 0, 1000).value();
        l.halfRequests = t.number("half_requests_per_s", 0.0, 0, 1000).value();
        l.floods = t.number("floods_per_s", 0.0, 0, 1000).value();
        l.nonsense = t.number("nonsense_per_s", 0.0, 0, 1000).value();
        t.end();
    }

    private void fault(Section t) {
        Scenario.Fault f = new Scenario.Fault();
        List<String> words = new ArrayList<>(FAULTS.keySet());
        SourcedValue<String> what = t.word("what", null, words);
        f.what = what == null || what.value() == null ? "" : what.value();
        if (!t.has("what")) {
            t.fault("", "has no what, one of " + String.join(", ", words));
        }
        f.at = t.span("at", 0.0, 0, HOUR).value();
        f.length = t.span("for", s.length - Math.min(s.length, f.at), 0, HOUR).value();
        if (f.at >= s.length) {
            t.fault("at", "is after the end");
        }
        SourcedValue<Integer> workers = t.whole("workers", null, 1, 10_000);
        SourcedValue<Double> share = t.number("share", null, 0, 1);
        SourcedValue<String> zone = t.word("zone", null, s.fleet.zones);
        SourcedValue<String> worker = t.text("worker", null);
        int ways = (workers != null ? 1 : 0) + (zone != null ? 1 : 0) + (worker != null ? 1 : 0);
        if (ways > 1) {
            t.fault("", "says in more than one way who it befalls: workers, zone, worker");
        }
        if (workers != null && workers.value() > s.fleet.workers) {
            t.fault("workers", "is more than the fleet has, " + s.fleet.workers);
        }
        f.workers = workers == null ? -1 : workers.value();
        f.share = share == null ? Double.NaN : share.value();
        f.zone = zone == null ? null : zone.value();
        f.worker = worker == null ? null : worker.value();
        SourcedValue<String> profile = t.word("profile", null, new ArrayList<>(s.kinds.keySet()));
        f.profile = profile == null ? null : profile.value();
        f.factor = t.number("factor", 5.0, 0, 1e6).value();
        f.scheduler = t.whole("scheduler", 0, 0, 199).value();
        if (f.scheduler >= s.schedulers.count) {
            t.fault(
                    "scheduler",
                    "is "
                            + f.scheduler
                            + ", and there are "
                            + s.schedulers.count
                            + ", counted from 0");
        }
        f.every = t.span("every", 500.0, 1, HOUR).value();
        f.bytes = t.whole("bytes", 1, 0, 1 << 20).value();
        f.process = t.word("process", "serving", PROCESSES).value();
        if (PAUSES.contains(f.what) && f.length > MOST_PAUSE) {
            t.fault(
                    t.has("for") ? "for" : "",
                    "pauses for " + Math.round(f.length) + " ms, wanted 10s or less");
        }
        List<String> own = FAULTS.getOrDefault(f.what, List.of());
        for (String key : List.of("factor", "profile", "scheduler", "every", "bytes", "process")) {
            if (t.has(key) && !own.contains(key) && !f.what.isEmpty()) {
                t.fault(key, "has no effect on " + f.what);
            }
        }
        t.end();
        s.faults.add(f);
    }
}
