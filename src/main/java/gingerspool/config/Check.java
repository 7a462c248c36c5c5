package gingerspool.config;

import gingerspool.config.OperatorFile.ProfilePart;
import gingerspool.config.OperatorFile.RoutePart;
import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Profile;
import gingerspool.route.Match;
import gingerspool.route.MatchTable;
import gingerspool.route.Policy;
import gingerspool.toml.Diagnostic;
import gingerspool.toml.Section;
import gingerspool.toml.SourceLocation;
import gingerspool.toml.SourcedValue;
import gingerspool.toml.Units;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Holds an operator's file, read and merged, against the rules that no policy may break. Each rule
 * looks at one case, that is a profile's tasks by one route (or by none), after all layers; so what
 * is sound in one file and not in the merged whole is found, and told with both places.
 */
final class Check {
    private static final List<Outcome> MAY_HAVE_RUN =
            List.of(Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT);

    /** A profile's tasks by a route, or by none (null). */
    private record Case(RoutePart route, ProfilePart profile, PolicyPart said, Policy policy) {
        boolean timesOut() {
            return policy.timeout() < profile.expiry.value();
        }

        boolean repeats() {
            return said.assignments != null
                    ? said.assignments.value() > 1
                    : policy.maxAssignments() > 1;
        }

        boolean goesAgainAfter(Outcome how) {
            return policy.retryableOutcomes() == null
                    ? profile.effect() != Profile.Effect.SIDE_EFFECTING || how.neverRan()
                    : policy.retryableOutcomes().contains(how);
        }
    }

    /** Where it applies: which key is at fault, where that was said, and what to say of it. */
    private record Rule(
            Predicate<Case> when,
            String key,
            Function<Case, SourcedValue<?>> said,
            Function<Case, String> text) {}

    private final OperatorFile file;
    private final List<Diagnostic> faults;
    private final List<Rule> rules = new ArrayList<>();

    Check(OperatorFile file, List<Diagnostic> faults) {
        this.file = file;
        this.faults = faults;
        rulesOfCopies();
        rulesOfRepeats();
        rulesOfTime();
        rulesOfLimits();
    }

    private void rulesOfCopies() {
        int most = file.limits.assignments();
        rule(
                c -> c.said.assignments != null && c.said.assignments.value() > most,
                "assignments",
                c -> c.said.assignments,
                c ->
                        "is "
                                + c.said.assignments.value()
                                + ", more than "
                                + most
                                + " assignments are not allowed");
        rule(
                c -> copied(c) && c.profile.effect() != Profile.Effect.IDEMPOTENT,
                "copies",
                c -> c.said.copies,
                c ->
                        "sends copies of "
                                + c.profile.name
                                + ", which is "
                                + c.profile.effect.value()
                                + OperatorFile.where(c.profile.effect)
                                + ": only what is idempotent may be copied");
        rule(
                c -> copied(c) && !file.limits.copies().value(),
                "copies",
                c -> c.said.copies,
                c ->
                        "overlaps assignments, which limits.copies = false"
                                + OperatorFile.where(file.limits.copies())
                                + " bars");
        rule(
                c -> copied(c) && c.policy.copies().maxInFlight() > c.policy.maxAssignments(),
                "copies",
                c -> c.said.copies,
                c ->
                        "has most = "
                                + c.policy.copies().maxInFlight()
                                + ", more than the assignments, "
                                + c.policy.maxAssignments()
                                + OperatorFile.where(c.said.assignments));
        rule(
                c ->
                        copied(c)
                                && c.policy.copies().delay()
                                        >= Math.min(c.policy.timeout(), c.profile.expiry.value()),
                "copies",
                c -> c.said.copies,
                c ->
                        "has after = "
                                + Units.text(c.policy.copies().delay())
                                + ", not before the time-out or expiry of the first one"
                                + OperatorFile.where(
                                        c.timesOut() ? c.said.timeout : c.profile.expiry)
                                + ": none would go out");
    }

    private void rulesOfRepeats() {
        rule(
                c ->
                        c.repeats()
                                && c.timesOut()
                                && c.goesAgainAfter(Outcome.TIMEOUT)
                                && !file.limits.cancels().value()
                                && barred(c) != null,
                "timeout",
                c -> c.said.timeout,
                c ->
                        "lets assignments overlap: limits.cancels = false"
                                + OperatorFile.where(file.limits.cancels())
                                + ", so one that timed out may run on, and "
                                + barred(c));
        rule(
                c ->
                        c.repeats()
                                && sideEffecting(c)
                                && c.policy.retryableOutcomes() != null
                                && MAY_HAVE_RUN.stream()
                                        .anyMatch(
                                                how ->
                                                        c.policy.retryableOutcomes().contains(how)
                                                                && (how != Outcome.TIMEOUT
                                                                        || c.timesOut())),
                "again",
                c -> c.said.again,
                c ->
                        "repeats what may have run, and "
                                + c.profile.name
                                + " is side-effecting"
                                + OperatorFile.where(c.profile.effect));
        rule(
                c ->
                        c.repeats()
                                && sideEffecting(c)
                                && c.policy.retryableOutcomes() == null
                                && c.timesOut(),
                "assignments",
                c -> c.said.assignments != null ? c.said.assignments : c.said.timeout,
                c ->
                        "is "
                                + c.policy.maxAssignments()
                                + " with a time-out of "
                                + Units.text(c.policy.timeout())
                                + OperatorFile.where(c.said.timeout)
                                + ": after it "
                                + c.profile.name
                                + ", which is side-effecting"
                                + OperatorFile.where(c.profile.effect)
                                + ", may have run; set assignments = 1, or again = "
                                + "[\"unreachable\", \"full\"]");
    }

    private void rulesOfTime() {
        rule(
                Check::tooLong,
                "timeout",
                c -> c.said.timeout,
                c ->
                        "is "
                                + Units.text(c.policy.timeout())
                                + ", beyond the expiry of "
                                + c.profile.name
                                + ", "
                                + Units.text(c.profile.expiry.value())
                                + OperatorFile.where(c.profile.expiry));
        rule(
                c -> !tooLong(c) && chain(c) > c.profile.expiry.value(),
                "assignments",
                this::chainSaid,
                c ->
                        "is "
                                + c.policy.maxAssignments()
                                + ": with "
                                + (c.timesOut()
                                        ? "time-outs of "
                                                + Units.text(c.policy.timeout())
                                                + OperatorFile.where(c.said.timeout)
                                                + " and "
                                        : "")
                                + "pauses"
                                + OperatorFile.where(c.said.pause)
                                + " that takes "
                                + Units.text(chain(c))
                                + ", beyond the expiry of "
                                + c.profile.name
                                + ", "
                                + Units.text(c.profile.expiry.value())
                                + OperatorFile.where(c.profile.expiry));
    }

    private void rulesOfLimits() {
        rule(
                c -> above(c.policy.tenantLimit(), c.policy.limit()) != null,
                "tenant_limit",
                c -> c.said.tenantLimit,
                c ->
                        "has "
                                + above(c.policy.tenantLimit(), c.policy.limit())
                                + ", above the route's own limit"
                                + OperatorFile.where(c.said.limit));
        rule(
                c ->
                        c.policy.maxAssignments() == 1
                                && c.said.repeats != null
                                && c.said.assignments != null
                                && table(c, c.said.repeats) == table(c, c.said.assignments),
                "repeats",
                c -> c.said.repeats,
                c ->
                        "has no effect, since assignments = 1"
                                + OperatorFile.where(c.said.assignments));
    }

    private void rule(
            Predicate<Case> when,
            String key,
            Function<Case, SourcedValue<?>> said,
            Function<Case, String> text) {
        rules.add(new Rule(when, key, said, text));
    }

    /** Why no two assignments of this task may run at a time, or null where they may. */
    private String barred(Case c) {
        return c.profile.effect() != Profile.Effect.IDEMPOTENT
                ? c.profile.name
                        + " is "
                        + c.profile.effect.value()
                        + OperatorFile.where(c.profile.effect)
                : file.limits.copies().value()
                        ? null
                        : "limits.copies = false"
                                + OperatorFile.where(file.limits.copies())
                                + " bars that";
    }

    private static boolean tooLong(Case c) {
        return c.said.timeout != null && c.policy.timeout() > c.profile.expiry.value();
    }

    private static boolean copied(Case c) {
        return c.policy.copies() != null && c.policy.copies().maxInFlight() > 1;
    }

    private static boolean sideEffecting(Case c) {
        return c.profile.effect() == Profile.Effect.SIDE_EFFECTING;
    }

    /** The longest that all assignments and the pauses between them may take, in milliseconds. */
    private static double chain(Case c) {
        Policy p = c.policy;
        if (p.retryableOutcomes() != null && p.retryableOutcomes().isEmpty()) {
            // Nothing goes again: one assignment, and copies that join it.
            return c.timesOut()
                    ? p.timeout()
                            + (copied(c) ? (p.copies().maxInFlight() - 1) * p.copies().delay() : 0)
                    : 0;
        }
        double all = c.timesOut() ? p.maxAssignments() * p.timeout() : 0;
        for (int n = 1; n < p.maxAssignments() && p.pause() != null; n++) {
            all += p.pause().pauseAfter(n);
        }
        return all;
    }

    private SourcedValue<?> chainSaid(Case c) {
        return c.said.assignments != null
                ? c.said.assignments
                : c.said.timeout != null ? c.said.timeout : c.said.pause;
    }

    /** What of the tenant's limit is above the route's, or null. */
    private static String above(Policy.Bound tenant, Policy.Bound route) {
        if (tenant == null || route == null) {
            return null;
        }
        return !Double.isInfinite(tenant.maxInFlight())
                        && tenant.maxInFlight() > route.maxInFlight()
                ? "in_hand = " + Units.plain(tenant.maxInFlight())
                : !Double.isInfinite(tenant.ratePerS()) && tenant.ratePerS() > route.ratePerS()
                        ? "rate_per_s = " + Units.plain(tenant.ratePerS())
                        : !Double.isInfinite(tenant.burst()) && tenant.burst() > route.burst()
                                ? "burst = " + Units.plain(tenant.burst())
                                : null;
    }

    void run() {
        if (file.profiles.isEmpty() && file.deployment.isWhole()) {
            faults.add(
                    new Diagnostic(
                            new SourceLocation(file.files().get(0), 0),
                            "profile",
                            "is missing: no task could come"));
        }
        if (file.deployment.isWhole()
                && file.workers.isEmpty()
                && file.deployment.listPlace() == null) {
            faults.add(
                    new Diagnostic(
                            new SourceLocation(file.files().get(0), 0),
                            "worker",
                            "is missing, and so is scheduler.discovery: no task could be run"));
        }
        if (!file.workers.isEmpty() && file.deployment.listPlace() != null) {
            faults.add(
                    new Diagnostic(
                            file.deployment.listPlace(),
                            "scheduler.discovery",
                            "is set, and workers are listed as well: one or the other"));
        }
        names();
        known();
        for (RoutePart r : file.routes) {
            for (ProfilePart p : file.profiles.values()) {
                if (r.match.profile() == null || r.match.profile().equals(p.name)) {
                    look(new Case(r, p, file.partFor(r, p), file.policyFor(r, p)));
                }
            }
        }
        for (ProfilePart p : file.profiles.values()) {
            look(new Case(null, p, file.partFor(null, p), file.policyFor(null, p)));
        }
        shadows();
    }

    private void look(Case c) {
        for (Rule r : rules) {
            if (r.when.test(c)) {
                SourcedValue<?> said = r.said.apply(c);
                SourceLocation at =
                        said == null || said.at() == null
                                ? c.route != null ? c.route.at : c.profile.at
                                : said.at();
                faults.add(new Diagnostic(at, owner(c, said) + r.key, r.text.apply(c)));
            }
        }
    }

    /** The route, the profile or the defaults that said it, or null. */
    private PolicyPart table(Case c, SourcedValue<?> said) {
        return c.route != null && owns(c.route.policy, said)
                ? c.route.policy
                : owns(c.profile.policy, said)
                        ? c.profile.policy
                        : owns(file.defaults, said) ? file.defaults : null;
    }

    /** The path of the table at fault: the one that said it, else the one concerned. */
    private String owner(Case c, SourcedValue<?> said) {
        PolicyPart p = said == null ? null : table(c, said);
        return p != null && p == file.defaults
                ? "defaults."
                : c.route != null && (p == null || p == c.route.policy)
                        ? c.route.section.path + " (" + c.route.name + ")."
                        : "profile." + c.profile.name + ".";
    }

    private static boolean owns(PolicyPart p, SourcedValue<?> said) {
        return p.assignments == said
                || p.timeout == said
                || p.pause == said
                || p.copies == said
                || p.repeats == said
                || p.limit == said
                || p.tenantLimit == said
                || p.again == said;
    }

    private void names() {
        Map<String, RoutePart> seen = new HashMap<>();
        for (RoutePart r : file.routes) {
            RoutePart first = r.name.isEmpty() ? null : seen.putIfAbsent(r.name, r);
            if (first != null) {
                faults.add(
                        new Diagnostic(
                                r.section.placeOf("name"),
                                r.section.path("name"),
                                "is \""
                                        + r.name
                                        + "\", which the route at "
                                        + first.section.placeOf("name")
                                        + " has"));
            }
        }
    }

    private void known() {
        for (RoutePart r : file.routes) {
            String p = r.match.profile();
            if (p != null && !file.hasProfile(p)) {
                faults.add(
                        new Diagnostic(
                                r.at,
                                r.section.path + " (" + r.name + ").match.profile",
                                "is \""
                                        + p
                                        + "\", which is no profile"
                                        + Section.nearest(p, file.profiles.keySet())));
            }
            String t = r.match.tenant();
            if (t != null && !file.tenants.isEmpty() && !file.tenants.containsKey(t)) {
                faults.add(
                        new Diagnostic(
                                r.at,
                                r.section.path + " (" + r.name + ").match.tenant",
                                "is \""
                                        + t
                                        + "\", which is no tenant"
                                        + Section.nearest(t, file.tenants.keySet())));
            }
        }
    }

    /**
     * Routes that earlier ones leave nothing to: one of these takes all, or for each profile one
     * does.
     */
    private void shadows() {
        MatchTable before = new MatchTable();
        for (RoutePart r : file.routes) {
            Map<RoutePart, String> by = new LinkedHashMap<>();
            Match m = r.match;
            List<String> profiles =
                    m.profile() != null ? List.of(m.profile()) : file.profileNames();
            boolean left = profiles.isEmpty() && before.covering(m) < 0;
            for (String p : profiles) {
                int i = before.covering(new Match(p, m.path(), m.host(), m.tenant()));
                left |= i < 0;
                if (i >= 0) {
                    by.put(file.routes.get(i), p);
                }
            }
            before.add(m);
            if (!left) {
                List<String> names = new ArrayList<>();
                by.keySet().forEach(o -> names.add("\"" + o.name + "\" (" + o.at + ")"));
                faults.add(
                        new Diagnostic(
                                r.at,
                                r.section.path + " (" + r.name + ")",
                                "can never match: "
                                        + String.join(" and ", names)
                                        + " before it takes all of it"));
            }
        }
    }
}
