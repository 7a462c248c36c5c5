package gingerspool.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile;
import gingerspool.dispatch.Task;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class LimitsTest {
    private static final double NONE = Double.POSITIVE_INFINITY;

    private static Policy.Bound inHand(double n) {
        return new Policy.Bound(n, NONE, NONE, false);
    }

    private static Policy policy(Policy.Repeats repeats, Policy.Bound limit, Policy.Bound tenant) {
        return new Policy(4, NONE, null, null, repeats, limit, tenant, null);
    }

    private static Routes.Rule route(String name, Match match, Policy p) {
        return new Routes.Rule(
                name, match, Map.of("p", p), "route " + name, "route " + name, "route " + name);
    }

    private static Task task() {
        Task t = new Task("t");
        t.profile = new Profile();
        t.profile.name = "p";
        return t;
    }

    @Test
    public void tokenBucketAdmitsBurstThenRate() {
        AdmissionLimit l = new AdmissionLimit(new Policy.Bound(NONE, 10, 5, false));
        int taken = 0;
        for (double now = 0; now < 10_000; now += 1) {
            if (l.delay(now) == 0) {
                l.acquire(now);
                taken++;
            }
        }
        assertEquals(taken, 5 + 99);
        assertTrue(l.delay(10_000) < 100, "less than one interval of the rate");
    }

    /** For random arrivals, no period admits more than the burst plus the rate. */
    @Test
    public void admissionsNeverExceedBurstAndRate() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            AdmissionLimit l = new AdmissionLimit(new Policy.Bound(NONE, 7, 3, false));
            double[] at = new double[400];
            int n = 0;
            for (double now = 0;
                    n < at.length && now < 60_000;
                    now += r.nextInt(4) == 0 ? r.nextInt(900) : 0.5) {
                if (l.delay(now) == 0) {
                    l.acquire(now);
                    at[n++] = now;
                }
            }
            for (int i = 0; i < n; i++) {
                for (int j = i; j < n; j++) {
                    assertTrue(j - i + 1 <= 3 + 7 * (at[j] - at[i]) / 1000 + 1e-6, "seed " + seed);
                }
            }
        }
    }

    /**
     * For random arrivals, retries stay within the cap, the share of first assignments and the
     * minimum rate.
     */
    @Test
    public void retriesNeverExceedBudget() {
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            TokenRetryBudget b = new TokenRetryBudget(new Policy.Repeats(0.2, 2));
            double now = 0;
            int firsts = 0;
            int repeats = 0;
            double cap = 0;
            for (int i = 0; i < 3000; i++) {
                now += r.nextInt(5) == 0 ? r.nextInt(500) : 0;
                if (r.nextInt(3) > 0) {
                    b.earn(now);
                    firsts++;
                }
                for (int k = r.nextInt(3); k > 0 && b.allows(now); k--) {
                    b.spend(now);
                    repeats++;
                }
                cap = Math.max(cap, b.cap());
                assertTrue(repeats <= cap + 0.2 * firsts + 2 * now / 1000 + 1e-6, "seed " + seed);
            }
        }
    }

    @Test
    public void zeroBudgetAllowsNoRetries() {
        TokenRetryBudget b = new TokenRetryBudget(new Policy.Repeats(0, 0));
        b.earn(0);
        assertFalse(b.allows(1e9));
    }

    @Test
    public void idleTimeDoesNotAccumulateBudget() {
        TokenRetryBudget b = new TokenRetryBudget(new Policy.Repeats(0.1, 2));
        int n = 0;
        for (; b.allows(3.6e6); n++) {
            b.spend(3.6e6);
        }
        assertEquals(n, 2);
    }

    @Test
    public void routeLimitRejectsUntilRelease() {
        Routes routes =
                new Routes(
                        List.of(
                                route(
                                        "a",
                                        new Match(null, null, null, null),
                                        policy(null, inHand(1), null))),
                        null);
        Task first = task();
        Routes.Admission stay = routes.admit(0, first, "/p", "h", "t");
        assertFalse(first.overLimit);
        Task second = task();
        assertNull(routes.admit(0, second, "/p", "h", "t"));
        assertTrue(second.overLimit);
        Routes.release(1, stay, true);
        Routes.release(2, stay, true);
        Task third = task();
        assertNotNull(routes.admit(3, third, "/p", "h", "t"));
        assertFalse(third.overLimit);
        Task fourth = task();
        routes.admit(4, fourth, "/p", "h", "t");
        assertTrue(fourth.overLimit, "released twice, counted once");
        assertEquals(routes.counts().get("a"), new int[] {2, 2});
    }

    @Test
    public void tenantLimitsAreIndependent() {
        Routes routes =
                new Routes(
                        List.of(
                                route(
                                        "a",
                                        new Match(null, null, null, null),
                                        policy(null, inHand(3), inHand(1)))),
                        null);
        routes.admit(0, task(), "/p", null, "t");
        Task again = task();
        routes.admit(0, again, "/p", null, "t");
        Task other = task();
        routes.admit(0, other, "/p", null, "u");
        assertTrue(again.overLimit);
        assertFalse(other.overLimit);
    }

    @Test
    public void rateLimitedTaskGetsRetryAfter() {
        Routes routes =
                new Routes(
                        List.of(
                                route(
                                        "a",
                                        new Match(null, null, null, null),
                                        policy(null, new Policy.Bound(NONE, 4, 1, false), null))),
                        null);
        routes.admit(0, task(), "/p", null, "t");
        Task second = task();
        routes.admit(50, second, "/p", null, "t");
        assertEquals(second.retryAfter, 200, 1e-6);
    }

    /** After a reload, tasks admitted by the old routes release the same limits. */
    @Test
    public void reloadedRoutesKeepUsage() {
        Match all = new Match(null, null, null, null);
        Routes old = new Routes(List.of(route("a", all, policy(null, inHand(2), inHand(2)))), null);
        Routes.Admission stay = old.admit(0, task(), "/p", null, "t");
        Routes now = new Routes(List.of(route("a", all, policy(null, inHand(1), inHand(1)))), old);
        Task second = task();
        now.admit(1, second, "/p", null, "t");
        assertTrue(second.overLimit);
        Routes.release(2, stay, true);
        Task third = task();
        now.admit(3, third, "/p", null, "t");
        assertFalse(third.overLimit);
    }

    @Test
    public void unroutedTaskUsesProfilePolicy() {
        Policy p = policy(new Policy.Repeats(0.1, 1), null, null);
        Routes routes =
                new Routes(
                        List.of(
                                route("a", new Match(null, "/x", null, null), p),
                                new Routes.Rule("p", null, Map.of("p", p), null, null, null)),
                        null);
        Task t = task();
        routes.admit(0, t, "/p", null, null);
        assertEquals(routes.nameFor(t.profile, "/p", null, null), "p");
        assertEquals(routes.nameFor(t.profile, "/x", null, null), "a");
        Task u = task();
        routes.admit(0, u, "/p", null, null);
        assertSame(u.terms, t.terms);
    }

    @Test
    public void unknownTenantsShareOneLimitWhenFull() {
        Routes routes =
                new Routes(
                        List.of(
                                route(
                                        "a",
                                        new Match(null, null, null, null),
                                        policy(null, null, new Policy.Bound(NONE, 1, 1, false)))),
                        null);
        for (int i = 0; i < 30_000; i++) {
            routes.admit(i / 1000.0, task(), "/p", null, "t" + i);
        }
        Task t = task();
        routes.admit(31, t, "/p", null, "another");
        assertTrue(t.overLimit, "tenants beyond the maximum share one limit");
    }

    /** Simulates a server of fixed capacity, whose latency grows in proportion beyond it. */
    @Test
    public void adaptiveLimitConvergesNearCapacity() {
        for (int places : new int[] {8, 40, 200}) {
            AdmissionLimit l = new AdmissionLimit(new Policy.Bound(NONE, NONE, NONE, true));
            SplittableRandom r = new SplittableRandom(3);
            double sum = 0;
            for (int round = 0; round < 4000; round++) {
                int n = (int) l.maxInFlight();
                sum += round < 3000 ? 0 : n;
                for (int i = 0; i < n; i++) {
                    l.acquire(0);
                }
                double latency =
                        10 * Math.max(1, (double) n / places) * (0.9 + 0.2 * r.nextDouble());
                for (int i = 0; i < n; i++) {
                    l.release(latency, true);
                }
            }
            double mean = sum / 1000;
            assertTrue(
                    mean >= places * 0.8 && mean <= 2 * places + 8,
                    places + " places, limit " + mean);
        }
    }

    @Test
    public void adaptiveLimitFallsWhenLatencyRises() {
        AdmissionLimit l = new AdmissionLimit(new Policy.Bound(NONE, NONE, NONE, true));
        for (int i = 0; i < 4000; i++) {
            l.acquire(0);
            while (l.inFlight() < l.maxInFlight()) {
                l.acquire(0);
            }
            l.release(10, true);
        }
        double before = l.maxInFlight();
        for (int i = 0; i < 20 * before; i++) {
            l.release(100, true);
            l.acquire(0);
        }
        assertTrue(l.maxInFlight() < before / 2, before + " to " + l.maxInFlight());
    }
}
