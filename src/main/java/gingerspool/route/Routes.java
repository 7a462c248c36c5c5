package gingerspool.route;

import gingerspool.dispatch.Profile;
import gingerspool.dispatch.Task;
import gingerspool.dispatch.Terms;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The active routes. The scheduler calls admit() for each arriving task: the task gets the terms of
 * the first route that matches it (otherwise of its profile), and is either counted against the
 * limits or marked as over its limit. It calls release() once the task is answered. After a reload,
 * limits and budgets of the same name keep their usage; tasks keep the terms they were admitted
 * with, and release the limits they acquired. Times are milliseconds.
 */
public final class Routes {
    /** Maximum number of tenants with a limit of their own, for each tenant limit. */
    private static final int MAX_TENANTS = 10_000;

    /**
     * The policies of a route, or of a profile (match is null). The last three name the owner of
     * the limits and the budget; null: the profile itself, shared by all routes its tasks take.
     */
    public record Rule(
            String name,
            Match match,
            Map<String, Policy> policiesByProfile,
            String limitOwner,
            String tenantLimitOwner,
            String retryBudgetOwner) {}

    /** The limits of tenants by name, least recently used first. */
    private static final class TenantLimits {
        private final Policy.Bound bound;
        private final LinkedHashMap<String, AdmissionLimit> limits =
                new LinkedHashMap<>(16, 0.75f, true);

        private TenantLimits(Policy.Bound bound, TenantLimits before) {
            this.bound = bound;
            if (before != null) {
                before.limits.forEach(
                        (tenant, l) -> limits.put(tenant, new AdmissionLimit(bound, l)));
            }
        }

        private AdmissionLimit of(String tenant, double now) {
            AdmissionLimit known = limits.get(tenant);
            if (known != null) {
                return known;
            }
            // Guards memory against made-up tenant names: idle limits are evicted,
            // and tenants beyond the maximum share one limit.
            if (limits.size() >= MAX_TENANTS) {
                limits.values().removeIf(l -> l.idle(now));
            }
            return limits.computeIfAbsent(
                    limits.size() >= MAX_TENANTS ? "" : tenant, k -> new AdmissionLimit(bound));
        }
    }

    /** The limits that a task has acquired and must release. */
    public static final class Admission {
        private final AdmissionLimit limit;
        private final AdmissionLimit tenant;
        private final double admittedAt;
        private boolean released;

        private Admission(AdmissionLimit limit, AdmissionLimit tenant, double since) {
            this.limit = limit;
            this.tenant = tenant;
            this.admittedAt = since;
        }
    }

    private static final class Entry {
        private final String name;
        private Terms terms;
        private AdmissionLimit limit;
        private TenantLimits tenantLimits;
        private int admitted;
        private int rejected;

        private Entry(String name) {
            this.name = name;
        }
    }

    private final MatchTable table = new MatchTable();

    /** By index in the table, then by profile. */
    private final List<Map<String, Entry>> routeEntries = new ArrayList<>();

    private final Map<String, Entry> profileEntries = new HashMap<>();
    private final Map<String, AdmissionLimit> limitsByOwner = new HashMap<>();
    private final Map<String, TenantLimits> tenantLimitsByOwner = new HashMap<>();
    private final Map<String, TokenRetryBudget> budgetsByOwner = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();

    /**
     * Creates the routes from rules in order of precedence: the routes, then one rule for each
     * profile, with the profile's name and no match. The predecessor may be null.
     */
    public Routes(List<Rule> rules, Routes before) {
        for (Rule r : rules) {
            Map<String, Entry> entriesByProfile = new HashMap<>();
            r.policiesByProfile()
                    .forEach(
                            (profile, policy) ->
                                    entriesByProfile.put(
                                            profile, entry(r, profile, policy, before)));
            if (r.match() == null) {
                profileEntries.putAll(entriesByProfile);
            } else {
                table.add(r.match());
                routeEntries.add(entriesByProfile);
            }
        }
    }

    private Entry entry(Rule r, String profile, Policy p, Routes before) {
        Entry e = new Entry(r.name());
        String profileOwner = "profile " + profile;
        TokenRetryBudget budget =
                p.retryBudget() == null
                        ? null
                        : budgetsByOwner.computeIfAbsent(
                                r.retryBudgetOwner() == null ? profileOwner : r.retryBudgetOwner(),
                                name ->
                                        new TokenRetryBudget(
                                                p.retryBudget(),
                                                before == null
                                                        ? null
                                                        : before.budgetsByOwner.get(name)));
        Policy.Backoff pause = p.pause();
        e.terms =
                new Terms(
                        p.maxAssignments(),
                        Double.isInfinite(p.timeout()) ? 0 : p.timeout(),
                        pause == null ? 0 : pause.first(),
                        pause == null ? 0 : pause.max(),
                        pause == null ? 0 : pause.jitter(),
                        p.copies() == null ? 1 : p.copies().maxInFlight(),
                        p.copies() == null ? 0 : p.copies().delay(),
                        budget,
                        p.retryableOutcomes());
        e.limit =
                p.limit() == null
                        ? null
                        : limitsByOwner.computeIfAbsent(
                                r.limitOwner() == null ? profileOwner : r.limitOwner(),
                                name ->
                                        new AdmissionLimit(
                                                p.limit(),
                                                before == null
                                                        ? null
                                                        : before.limitsByOwner.get(name)));
        e.tenantLimits =
                p.tenantLimit() == null
                        ? null
                        : tenantLimitsByOwner.computeIfAbsent(
                                r.tenantLimitOwner() == null ? profileOwner : r.tenantLimitOwner(),
                                name ->
                                        new TenantLimits(
                                                p.tenantLimit(),
                                                before == null
                                                        ? null
                                                        : before.tenantLimitsByOwner.get(name)));
        entries.add(e);
        return e;
    }

    /**
     * Sets the task's terms and admits it unless a limit is exceeded; path, host and tenant may be
     * null. Returns the acquired limits, or null where there are none to release.
     */
    public Admission admit(double now, Task t, String path, String host, String tenant) {
        Entry e = find(t.profile, path, host, tenant);
        if (e == null) {
            return null;
        }
        t.terms = e.terms;
        AdmissionLimit tenantLimit =
                e.tenantLimits == null
                        ? null
                        : e.tenantLimits.of(tenant == null ? "" : tenant, now);
        double wait =
                Math.max(
                        e.limit == null ? 0 : e.limit.delay(now),
                        tenantLimit == null ? 0 : tenantLimit.delay(now));
        if (wait > 0) {
            e.rejected++;
            t.overLimit = true;
            t.retryAfter = Double.isInfinite(wait) ? 0 : wait;
            return null;
        }
        e.admitted++;
        if (e.limit != null) {
            e.limit.acquire(now);
        }
        if (tenantLimit != null) {
            tenantLimit.acquire(now);
        }
        return e.limit == null && tenantLimit == null
                ? null
                : new Admission(e.limit, tenantLimit, now);
    }

    /** Releases the limits of an answered task; later calls have no effect. */
    public static void release(double now, Admission stay, boolean finished) {
        if (stay == null || stay.released) {
            return;
        }
        stay.released = true;
        if (stay.limit != null) {
            stay.limit.release(now - stay.admittedAt, finished);
        }
        if (stay.tenant != null) {
            stay.tenant.release(now - stay.admittedAt, finished);
        }
    }

    private Entry find(Profile p, String path, String host, String tenant) {
        int index = table.first(p.name, path, host, tenant);
        Entry e = index < 0 ? null : routeEntries.get(index).get(p.name);
        return e == null ? profileEntries.get(p.name) : e;
    }

    /** The name of the rule that applies to such a task, or "". */
    public String nameFor(Profile p, String path, String host, String tenant) {
        Entry e = find(p, path, host, tenant);
        return e == null ? "" : e.name;
    }

    /**
     * Tasks admitted and rejected since the last call, by rule name; rules without any are left
     * out.
     */
    public Map<String, int[]> counts() {
        Map<String, int[]> all = new LinkedHashMap<>();
        for (Entry e : entries) {
            if (e.admitted > 0 || e.rejected > 0) {
                int[] n = all.computeIfAbsent(e.name, k -> new int[2]);
                n[0] += e.admitted;
                n[1] += e.rejected;
                e.admitted = 0;
                e.rejected = 0;
            }
        }
        return all;
    }
}
