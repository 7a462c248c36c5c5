package gingerspool.experiment;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import gingerspool.scenario.Scenario;
import gingerspool.wire.Address;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A scheduler's configuration for a scenario, in the platform's form, which older versions read as
 * well.
 */
final class NodeFile {
    /** How much before its expiry an answer is due: a quarter of what schedulers keep. */
    private static final double ANSWER_GRACE = 10;

    private final JsonGenerator g;
    private final Scenario s;

    private NodeFile(JsonGenerator g, Scenario s) {
        this.g = g;
        this.s = s;
    }

    static String of(
            Scenario s,
            int scheduler,
            long seed,
            InetSocketAddress listen,
            InetSocketAddress discovery)
            throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
            new NodeFile(g, s).write(scheduler, seed, listen, discovery);
        }
        return text.toString();
    }

    private void write(
            int scheduler, long seed, InetSocketAddress listen, InetSocketAddress discovery)
            throws IOException {
        g.writeStartObject();
        g.writeStringField("name", "n" + scheduler);
        g.writeStringField("listen", Address.text(listen));
        g.writeStringField("discovery", Address.text(discovery));
        g.writeStringField("seed", Long.toHexString(seed * 1000 + scheduler));
        g.writeObjectFieldStart("limits");
        g.writeNumberField("sockets", s.schedulers.descriptors);
        g.writeEndObject();
        g.writeObjectFieldStart("settings");
        settings(scheduler);
        g.writeEndObject();
        g.writeEndObject();
    }

    private void settings(int scheduler) throws IOException {
        Scenario.Fleet f = s.fleet;
        g.writeStringField(
                "locality", s.schedulers.zones.get(scheduler % s.schedulers.zones.size()));
        g.writeNumberField("groupSize", s.schedulers.count);
        g.writeStringField("discovery", "push");
        names("localities", f.zones);
        names("flavors", List.of("m"));
        g.writeNumberField("tickMs", 1);
        g.writeNumberField("excessUtility", 0.5);
        g.writeArrayFieldStart("tenants");
        for (Scenario.Tenant t : s.tenants) {
            g.writeStartObject();
            g.writeStringField("name", t.name());
            g.writeNumberField("allowancePerS", t.ratePerS());
            g.writeEndObject();
        }
        g.writeEndArray();
        g.writeArrayFieldStart("profiles");
        List<Integer> priorities = new ArrayList<>();
        for (Scenario.Kind k : s.kinds.values()) {
            priorities.add(k.priority);
            profile(k);
        }
        g.writeEndArray();
        g.writeObjectFieldStart("loadInfo");
        g.writeStringField(
                "via",
                f.reports.equals("probe")
                        ? "pull"
                        : f.reports.equals("answers") ? "piggyback" : "none");
        names("names", List.of("inflight", "queue", "util", "x0"));
        g.writeEndObject();
        g.writeObjectFieldStart("specifics");
        g.writeStringField("reportX0", "free slots");
        g.writeStringField("queueOrder", f.order);
        g.writeBooleanField("tellsStart", f.tellsStart);
        g.writeArrayFieldStart("classPriority");
        for (int p : priorities) {
            g.writeNumber(p);
        }
        g.writeEndArray();
        g.writeEndObject();
        g.writeObjectFieldStart("limits");
        g.writeNumberField("mostAssignments", s.schedulers.assignments);
        g.writeNumberField("maxOpen", 20_000);
        g.writeBooleanField("cancelling", f.cancels);
        g.writeBooleanField("probes", f.reports.equals("probe"));
        g.writeBooleanField("retryAfter", s.schedulers.advice > 0);
        g.writeNumberField("maxRetryAfterMs", s.schedulers.advice);
        g.writeNumberField("connIdleMs", f.idleClose);
        g.writeNumberField("connectTimeoutMs", 250);
        g.writeEndObject();
        g.writeObjectFieldStart("obligations");
        g.writeNumberField("askWithinMs", f.deemedTold);
        g.writeNumberField("graceToAnswerMs", ANSWER_GRACE);
        g.writeNumberField("coldFrom", f.coldFrom);
        g.writeNumberField("warmWithinMs", f.warmWithin);
        g.writeNumberField("fallMs", f.warmWithin > 0 ? f.coldWindow : 0);
        g.writeNumberField("overloadFactor", f.overload);
        g.writeEndObject();
    }

    private void names(String field, List<String> all) throws IOException {
        g.writeArrayFieldStart(field);
        for (String n : all) {
            g.writeString(n);
        }
        g.writeEndArray();
    }

    private void profile(Scenario.Kind k) throws IOException {
        g.writeStartObject();
        g.writeStringField("name", k.name);
        g.writeStringField(
                "effect",
                k.effect.equals("idempotent")
                        ? "safe"
                        : k.effect.equals("fingerprinted") ? "keyed" : "unsafe");
        g.writeNumberField("dueTimeMs", k.due);
        g.writeNumberField("expiryMs", k.expiry);
        g.writeNumberField("utility", k.utility);
        g.writeNumberField("tardyUtility", k.tardyUtility);
        g.writeNumberField("windowMs", k.window);
        g.writeStringField("dedupScope", k.scope);
        g.writeEndObject();
    }
}
