package gingerspool.config;

import gingerspool.dispatch.Outcome;
import gingerspool.route.Policy;
import gingerspool.toml.Section;
import gingerspool.toml.SourcedValue;
import gingerspool.toml.Units;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The policy keys of a route, a profile or [defaults] as they were said; what was left out is null.
 */
final class PolicyPart {
    private static final List<String> OUTCOMES =
            List.of("unreachable", "full", "error", "reset", "timeout");
    private static final double DAY = 8.64e7;

    SourcedValue<Integer> assignments;
    SourcedValue<Double> timeout;
    SourcedValue<Policy.Backoff> pause;
    SourcedValue<Policy.Copies> copies;
    SourcedValue<Policy.Repeats> repeats;
    SourcedValue<Policy.Bound> limit;
    SourcedValue<Policy.Bound> tenantLimit;
    SourcedValue<Set<Outcome>> again;

    private PolicyPart() {}

    static PolicyPart read(Section s) {
        PolicyPart p = new PolicyPart();
        p.assignments = s.whole("assignments", null, 1, Integer.MAX_VALUE);
        p.timeout = s.span("timeout", null, 1, DAY);
        p.pause = s.has("pause") ? pause(s) : null;
        p.copies = s.has("copies") ? copies(s) : null;
        p.repeats = s.has("repeats") ? repeats(s) : null;
        p.limit = s.has("limit") ? bound(s, "limit") : null;
        p.tenantLimit = s.has("tenant_limit") ? bound(s, "tenant_limit") : null;
        SourcedValue<List<String>> words = s.words("again", null, OUTCOMES);
        if (words != null) {
            Set<Outcome> set = EnumSet.noneOf(Outcome.class);
            words.value().forEach(w -> set.add(Outcome.valueOf(w.toUpperCase(Locale.ROOT))));
            p.again = new SourcedValue<>(set, words.at());
        }
        return p;
    }

    private static SourcedValue<Policy.Backoff> pause(Section s) {
        Section in = s.section("pause");
        SourcedValue<Double> first = in.span("first", 0.0, 0, DAY);
        SourcedValue<Double> most = in.span("most", first.value(), 0, DAY);
        SourcedValue<Double> jitter = in.number("jitter", 0.0, 0, 1);
        if (!in.has("first")) {
            in.fault("", "needs first");
        }
        if (most.value() < first.value()) {
            in.fault(
                    "most",
                    "is "
                            + Units.text(most.value())
                            + ", less than first, "
                            + Units.text(first.value()));
        }
        in.end();
        return new SourcedValue<>(
                new Policy.Backoff(first.value(), most.value(), jitter.value()), in.at);
    }

    private static SourcedValue<Policy.Copies> copies(Section s) {
        Section in = s.section("copies");
        SourcedValue<Integer> most = in.whole("most", 1, 1, Integer.MAX_VALUE);
        SourcedValue<Double> after = in.span("after", 0.0, 0, DAY);
        if (most.value() > 1 && !in.has("after")) {
            in.fault("", "needs after: how long an assignment is out before another joins it");
        }
        if (!in.has("most")) {
            in.fault("", "needs most");
        }
        in.end();
        return new SourcedValue<>(new Policy.Copies(most.value(), after.value()), in.at);
    }

    private static SourcedValue<Policy.Repeats> repeats(Section s) {
        Section in = s.section("repeats");
        SourcedValue<Double> share = in.number("share", 0.0, 0, 1);
        SourcedValue<Double> least = in.number("least_per_s", 0.0, 0, 1e6);
        if (!in.has("share") && !in.has("least_per_s")) {
            in.fault("", "needs share or least_per_s");
        }
        in.end();
        return new SourcedValue<>(new Policy.Repeats(share.value(), least.value()), in.at);
    }

    private static SourcedValue<Policy.Bound> bound(Section s, String key) {
        Section in = s.section(key);
        SourcedValue<Integer> inHand = in.whole("in_hand", null, 1, Integer.MAX_VALUE);
        SourcedValue<Double> rate = in.number("rate_per_s", null, 0.001, 1e6);
        SourcedValue<Double> burst =
                in.number("burst", rate == null ? null : Math.max(1, rate.value()), 1, 1e6);
        boolean found = in.mark("found", false).value();
        if (found && inHand != null) {
            in.fault("in_hand", "is set while found = true: one or the other");
        }
        if (in.has("burst") && rate == null && !in.has("rate_per_s")) {
            in.fault("burst", "has no effect without rate_per_s");
        }
        if (!found
                && inHand == null
                && rate == null
                && !in.has("in_hand")
                && !in.has("rate_per_s")) {
            in.fault("", "needs in_hand, rate_per_s or found = true");
        }
        in.end();
        double none = Double.POSITIVE_INFINITY;
        return new SourcedValue<>(
                new Policy.Bound(
                        inHand == null ? none : inHand.value(),
                        rate == null ? none : rate.value(),
                        burst == null ? none : burst.value(),
                        found),
                in.at);
    }

    /** This part where it says something, else the other. */
    PolicyPart over(PolicyPart other) {
        PolicyPart p = new PolicyPart();
        p.assignments = assignments != null ? assignments : other.assignments;
        p.timeout = timeout != null ? timeout : other.timeout;
        p.pause = pause != null ? pause : other.pause;
        p.copies = copies != null ? copies : other.copies;
        p.repeats = repeats != null ? repeats : other.repeats;
        p.limit = limit != null ? limit : other.limit;
        p.tenantLimit = tenantLimit != null ? tenantLimit : other.tenantLimit;
        p.again = again != null ? again : other.again;
        return p;
    }

    private static <T> T value(SourcedValue<T> said, T other) {
        return said == null ? other : said.value();
    }

    /**
     * The figures, with what no layer says filled in: as many assignments as may be, one at a time.
     */
    Policy policy(int mostAssignments) {
        return new Policy(
                Math.min(value(assignments, mostAssignments), mostAssignments),
                value(timeout, Double.POSITIVE_INFINITY),
                value(pause, null),
                value(copies, null),
                value(repeats, null),
                value(limit, null),
                value(tenantLimit, null),
                value(again, null));
    }
}
