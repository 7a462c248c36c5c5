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
 * The routes in force. Call admit() for each task that comes: it gets the terms of the first route
 * that takes it (else of its profile), and is marked as over its limit or counted; call done() once
 * it has its answer. A new set made from an older one goes on counting where that stood, for the
 * limits and budgets that have the same name; tasks keep the terms, and are given back to the
 * limits, that they were taken with.
 */
public final class Routes {
    /** Tenants whose limits are kept track of, besides those with tasks in hand. */
    private static final int MAX_TENANTS = 10_000;

    /**
     * What a route, or a profile by itself (match is null), says. The last three tell who owns the
     * limits and the budget: null where they are the profile's own, whichever route its tasks take.
     */
    public record Rule(
            String name,
            Match match,
            Map<String, Policy> byProfile,
            String limitOf,
            String tenantLimitOf,
            String repeatsOf) {}

    /** A limit for each tenant, by its name; the longest unused first. */
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
            // Guards memory against made-up tenants: those that hold nothing make way.
            if (limits.size() >= MAX_TENANTS) {
                limits.values().removeIf(l -> l.idle(now));
            }
            return limits.computeIfAbsent(
                    limits.size() >= MAX_TENANTS ? "" : tenant, k -> new AdmissionLimit(bound));
        }
    }

    /** What a task takes from its limits and must give back. */
    public static final class Stay {
        private final AdmissionLimit limit;
        private final AdmissionLimit tenant;
        private final double admittedAt;
        private boolean released;

        private Stay(AdmissionLimit limit, AdmissionLimit tenant, double since) {
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

    private final Table table = new Table();

    /** By index in the table, then by profile. */
    private final List<Map<String, Entry>> routes = new ArrayList<>();

    private final Map<String, Entry> byProfile = new HashMap<>();
    private final Map<String, AdmissionLimit> limits = new HashMap<>();
    private final Map<String, TenantLimits> tenantLimits = new HashMap<>();
    private final Map<String, Budget> budgets = new HashMap<>();
    private final List<Entry> entries = new ArrayList<>();

    /**
     * The rules in order: routes first, then one for each profile, whose match is null and name the
     * profile's.
     */
    public Routes(List<Rule> rules, Routes before) {
        for (Rule r : rules) {
            Map<String, Entry> made = new HashMap<>();
            r.byProfile()
                    .forEach(
                            (profile, policy) ->
                                    made.put(profile, entry(r, profile, policy, before)));
            if (r.match() == null) {
                byProfile.putAll(made);
            } else {
                table.add(r.match());
                routes.add(made);
            }
        }
    }

    private Entry entry(Rule r, String profile, Policy p, Routes before) {
        Entry e = new Entry(r.name());
        String byProfile = "profile " + profile;
        Budget budget =
                p.repeats() == null
                        ? null
                        : budgets.computeIfAbsent(
                                r.repeatsOf() == null ? byProfile : r.repeatsOf(),
                                name ->
                                        new Budget(
                                                p.repeats(),
                                                before == null ? null : before.budgets.get(name)));
        Policy.Pause pause = p.pause();
        e.terms =
                new Terms(
                        p.assignments(),
                        Double.isInfinite(p.timeout()) ? 0 : p.timeout(),
                        pause == null ? 0 : pause.first(),
                        pause == null ? 0 : pause.most(),
                        pause == null ? 0 : pause.jitter(),
                        p.copies() == null ? 1 : p.copies().most(),
                        p.copies() == null ? 0 : p.copies().after(),
                        budget,
                        p.again());
        e.limit =
                p.limit() == null
                        ? null
                        : limits.computeIfAbsent(
                                r.limitOf() == null ? byProfile : r.limitOf(),
                                name ->
                                        new AdmissionLimit(
                                                p.limit(),
                                                before == null ? null : before.limits.get(name)));
        e.tenantLimits =
                p.tenantLimit() == null
                        ? null
                        : tenantLimits.computeIfAbsent(
                                r.tenantLimitOf() == null ? byProfile : r.tenantLimitOf(),
                                name ->
                                        new TenantLimits(
                                                p.tenantLimit(),
                                                before == null
                                                        ? null
                                                        : before.tenantLimits.get(name)));
        entries.add(e);
        return e;
    }

    /**
     * Finds the task's terms and whether it may be taken; any of path, host and tenant may be null.
     */
    public Stay admit(double now, Task t, String path, String host, String tenant) {
        Entry e = find(t.profile, path, host, tenant);
        if (e == null) {
            return null;
        }
        t.terms = e.terms;
        AdmissionLimit ofTenant =
                e.tenantLimits == null
                        ? null
                        : e.tenantLimits.of(tenant == null ? "" : tenant, now);
        double wait =
                Math.max(
                        e.limit == null ? 0 : e.limit.delay(now),
                        ofTenant == null ? 0 : ofTenant.delay(now));
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
        if (ofTenant != null) {
            ofTenant.acquire(now);
        }
        return e.limit == null && ofTenant == null ? null : new Stay(e.limit, ofTenant, now);
    }

    /** The task has its answer; only the first call counts. */
    public static void done(double now, Stay stay, boolean finished) {
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
        Entry e = index < 0 ? null : routes.get(index).get(p.name);
        return e == null ? byProfile.get(p.name) : e;
    }

    /** The name of the rule that a task of this sort goes by, or "". */
    public String nameFor(Profile p, String path, String host, String tenant) {
        Entry e = find(p, path, host, tenant);
        return e == null ? "" : e.name;
    }

    /**
     * Counts since the last call: by rule, what was taken and turned away; those without either are
     * left out.
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
