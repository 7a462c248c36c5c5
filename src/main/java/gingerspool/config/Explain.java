package gingerspool.config;

import gingerspool.dispatch.Outcome;
import gingerspool.route.Policy;
import gingerspool.toml.SourcedValue;
import gingerspool.toml.Units;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** Says in words what holds and where that was said. */
public final class Explain {
    private Explain() {}

    /**
     * The effective settings, a line each: key, value, place. Then the policy of each route and
     * profile.
     */
    public static List<String> lines(OperatorFile file) {
        List<String> lines = new ArrayList<>();
        for (Map.Entry<String, SourcedValue<String>> e : file.notes().entrySet()) {
            lines.add(line(e.getKey() + " = " + e.getValue().value(), e.getValue().where()));
        }
        for (OperatorFile.RoutePart r : file.routes) {
            for (OperatorFile.ProfilePart p : file.profiles.values()) {
                if (r.match.profile() == null || r.match.profile().equals(p.name)) {
                    lines.add("");
                    lines.add(
                            line(
                                    "route "
                                            + r.name
                                            + ", profile "
                                            + p.name
                                            + ": takes "
                                            + r.match,
                                    r.at.toString()));
                    policy(file.partFor(r, p), p, file.limits.assignments())
                            .forEach(l -> lines.add("  " + l));
                }
            }
        }
        for (OperatorFile.ProfilePart p : file.profiles.values()) {
            lines.add("");
            lines.add(line("profile " + p.name + " by no route", p.at.toString()));
            policy(file.partFor(null, p), p, file.limits.assignments())
                    .forEach(l -> lines.add("  " + l));
        }
        return lines;
    }

    private static String line(String text, String where) {
        return String.format(Locale.ROOT, "%-64s # %s", text, where);
    }

    private static String line(String text, SourcedValue<?> said) {
        return line(text, said == null ? "default" : said.where());
    }

    static List<String> policy(PolicyPart part, OperatorFile.ProfilePart profile, int most) {
        Policy p = part.policy(most);
        List<String> lines = new ArrayList<>();
        lines.add(line("effect = " + profile.effect.value(), profile.effect));
        lines.add(line("expiry = " + Units.text(profile.expiry.value()), profile.expiry));
        lines.add(line("assignments = " + p.maxAssignments(), part.assignments));
        lines.add(
                line(
                        "timeout = "
                                + (Double.isInfinite(p.timeout())
                                        ? "until the expiry"
                                        : Units.text(p.timeout())),
                        part.timeout));
        lines.add(
                line(
                        "pause = "
                                + (p.pause() == null
                                        ? "none"
                                        : Units.text(p.pause().first())
                                                + " to "
                                                + Units.text(p.pause().max())
                                                + ", jitter "
                                                + Units.plain(p.pause().jitter())),
                        part.pause));
        lines.add(
                line(
                        "copies = "
                                + (p.copies() == null || p.copies().maxInFlight() < 2
                                        ? "none"
                                        : p.copies().maxInFlight()
                                                + " after "
                                                + Units.text(p.copies().delay())),
                        part.copies));
        lines.add(
                line(
                        "repeats = "
                                + (p.retryBudget() == null
                                        ? "no budget"
                                        : Units.plain(p.retryBudget().share())
                                                + " of first assignments and "
                                                + Units.plain(p.retryBudget().minPerS())
                                                + "/s"),
                        part.repeats));
        lines.add(line("limit = " + bound(p.limit()), part.limit));
        lines.add(line("tenant_limit = " + bound(p.tenantLimit()), part.tenantLimit));
        lines.add(
                line(
                        "again = "
                                + (p.retryableOutcomes() == null
                                        ? "as the effect allows"
                                        : words(p)),
                        part.again));
        return lines;
    }

    private static String words(Policy p) {
        TreeSet<String> words = new TreeSet<>();
        for (Outcome o : p.retryableOutcomes()) {
            words.add(o.name().toLowerCase(Locale.ROOT));
        }
        return "after " + (words.isEmpty() ? "nothing" : String.join(", ", words));
    }

    private static String bound(Policy.Bound b) {
        if (b == null) {
            return "none";
        }
        String rate =
                Double.isInfinite(b.ratePerS())
                        ? ""
                        : Units.plain(b.ratePerS()) + "/s in bursts of " + Units.plain(b.burst());
        String hand =
                b.adaptive()
                        ? "as many in hand as is found"
                        : Double.isInfinite(b.maxInFlight())
                                ? ""
                                : Units.plain(b.maxInFlight()) + " in hand";
        return hand + (hand.isEmpty() || rate.isEmpty() ? "" : ", ") + rate;
    }
}
