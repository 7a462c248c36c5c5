package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What an operator's terms make of the module's assignments. */
public class TermsTest {
    private static final Effect SAFE = Effect.IDEMPOTENT;

    /** A budget of so many, which nothing fills up. */
    private static final class Coins implements RetryBudget {
        int left;
        int earned;

        Coins(int left) {
            this.left = left;
        }

        @Override
        public void earn(double now) {
            earned++;
        }

        @Override
        public boolean allows(double now) {
            return left > 0;
        }

        @Override
        public void spend(double now) {
            left--;
        }
    }

    private static Terms terms(int assignments, double first, double most, RetryBudget budget) {
        return new Terms(assignments, 0, first, most, 0, 1, 0, budget, null);
    }

    private static Terms copies(int most, double after, RetryBudget budget) {
        return new Terms(4, 0, 0, 0, 0, most, after, budget, null);
    }

    private static Task arrive(Bench b, double at, Terms terms) {
        Task t = b.task(0, at, 100);
        t.terms = terms;
        b.d.arrived(at, t);
        return t;
    }

    @Test
    public void theTermsBoundTheAssignmentsBelowTheSettings() {
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, terms(2, 0, 0, null));
        b.d.ended(2, b.last(), Outcome.ERROR, false, null);
        assertEquals(b.sent.size(), 2);
        b.d.ended(3, b.last(), Outcome.ERROR, false, null);
        assertEquals(b.sent.size(), 2);
        assertEquals(b.count("bounce"), 1);
    }

    @Test
    public void termsNeverAllowMoreThanTheSettings() {
        Bench b = Bench.of(SAFE);
        b.settings.maxAssignments = 1;
        b.start(4);
        arrive(b, 1, terms(4, 0, 0, null));
        b.d.ended(2, b.last(), Outcome.ERROR, false, null);
        assertEquals(b.sent.size(), 1);
        assertEquals(b.count("bounce"), 1);
    }

    @Test
    public void aPauseComesBetweenAssignmentsAndDoubles() {
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, terms(4, 20, 30, null));
        b.d.ended(10, b.last(), Outcome.ERROR, false, null);
        b.d.wake(29);
        assertEquals(b.sent.size(), 1);
        b.d.wake(30);
        assertEquals(b.sent.size(), 2);
        b.d.ended(40, b.last(), Outcome.ERROR, false, null);
        b.d.wake(69);
        assertEquals(b.sent.size(), 2);
        b.d.wake(70);
        assertEquals(b.sent.size(), 3);
    }

    /** Found by reading: a change of the list looks at every task at once, and cut pauses short. */
    @Test
    public void aChangeOfTheListDoesNotCutAPauseShort() {
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, terms(4, 20, 20, null));
        b.d.ended(10, b.last(), Outcome.ERROR, false, null);
        b.list(15, true, 4, Dispatcher.RUNNING, 0);
        assertEquals(b.sent.size(), 1);
        b.d.wake(30);
        assertEquals(b.sent.size(), 2);
    }

    @Test
    public void whatThePauseWouldOutlastIsGivenUpAtOnce() {
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, terms(4, 20, 20, null));
        b.d.ended(4990, b.last(), Outcome.ERROR, false, null);
        assertEquals(b.count("bounce"), 1);
    }

    @Test
    public void whatMayNotRunAgainIsGivenUpWithoutAPause() {
        Bench b = Bench.of(Effect.SIDE_EFFECTING).start(4);
        arrive(b, 1, terms(4, 20, 20, null));
        b.d.ended(5, b.last(), Outcome.RESET, false, null);
        assertEquals(b.count("abandon"), 1);
    }

    @Test
    public void onlyNamedOutcomesGoAgain() {
        Terms t = new Terms(4, 0, 0, 0, 0, 1, 0, null, EnumSet.of(Outcome.FULL));
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, t);
        b.d.ended(2, b.last(), Outcome.FULL, false, null);
        assertEquals(b.sent.size(), 2);
        b.d.ended(3, b.last(), Outcome.ERROR, false, null);
        assertEquals(b.sent.size(), 2);
        assertEquals(b.count("bounce"), 1);
    }

    @Test
    public void theTimeOutGoesWithTheAssignment() {
        double[] told = new double[1];
        Bench b = Bench.of(SAFE);
        b.start(2);
        DispatchActions out = b;
        b.d =
                new Dispatcher(
                        b.settings,
                        7,
                        new Relay(out) {
                            @Override
                            public void send(Assignment a, double timeout) {
                                told[0] = timeout;
                                super.send(a, timeout);
                            }
                        });
        b.list(0, true, 2, Dispatcher.RUNNING, 0);
        arrive(b, 1, new Terms(4, 250, 0, 0, 0, 1, 0, null, null));
        assertEquals(told[0], 250.0);
    }

    /** Passes everything on. */
    private static class Relay implements DispatchActions {
        private final DispatchActions to;

        Relay(DispatchActions to) {
            this.to = to;
        }

        @Override
        public void send(Assignment a, double timeout) {
            to.send(a, timeout);
        }

        @Override
        public void bounce(Task t, double pause) {
            to.bounce(t, pause);
        }

        @Override
        public void abandon(Task t) {
            to.abandon(t);
        }

        @Override
        public void cancel(Assignment a) {
            to.cancel(a);
        }

        @Override
        public void probe(int worker) {
            to.probe(worker);
        }

        @Override
        public void watchList() {
            to.watchList();
        }

        @Override
        public void wakeAfter(double span) {
            to.wakeAfter(span);
        }
    }

    @Test
    public void overItsLimitATaskIsBouncedAtOnceWithAdvice() {
        Bench b = Bench.of(SAFE).start(4);
        Task t = b.task(0, 1, 100);
        t.overLimit = true;
        t.retryAfter = 300;
        b.d.arrived(1, t);
        assertEquals(b.acts, List.of("bounce 300.0"));
        assertTrue(t.ended());
    }

    @Test
    public void aSpentBudgetGivesUpAtOnce() {
        Coins coins = new Coins(1);
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, terms(4, 20, 20, coins));
        b.d.ended(2, b.last(), Outcome.ERROR, false, null);
        b.d.wake(30);
        b.d.ended(31, b.last(), Outcome.ERROR, false, null);
        assertEquals(b.sent.size(), 2);
        assertEquals(b.count("bounce"), 1);
        assertEquals(coins.earned, 1);
        assertEquals(coins.left, 0);
    }

    // ---- Copies ----

    @Test
    public void aCopyGoesToAnotherWorkerAfterItsTime() {
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, copies(2, 50, null));
        b.d.wake(50);
        assertEquals(b.sent.size(), 1);
        b.d.wake(51);
        assertEquals(b.sent.size(), 2);
        assertTrue(b.sent.get(0).worker != b.sent.get(1).worker);
        b.d.wake(200);
        assertEquals(b.sent.size(), 2, "no more than two at once");
    }

    @Test
    public void theFirstToFinishCallsTheOtherBack() {
        Bench b = Bench.of(SAFE);
        b.settings.mayCancel = true;
        b.start(4);
        Task t = arrive(b, 1, copies(2, 50, null));
        b.d.wake(51);
        b.d.ended(60, b.sent.get(1), Outcome.OK, true, null);
        assertEquals(b.count("cancel"), 1);
        b.d.ended(61, b.sent.get(0), Outcome.CANCELLED, true, null);
        b.d.wake(500);
        assertEquals(b.sent.size(), 2);
        assertEquals(b.count("bounce") + b.count("abandon"), 0);
        assertEquals(t.outstanding(), 0);
    }

    @Test
    public void oneThatFailsWaitsForTheOther() {
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, copies(2, 50, null));
        b.d.wake(51);
        b.d.ended(60, b.sent.get(0), Outcome.ERROR, false, null);
        assertEquals(b.sent.size(), 2);
        b.d.ended(61, b.sent.get(1), Outcome.ERROR, false, null);
        assertEquals(b.sent.size(), 3);
        b.d.wake(110);
        assertEquals(b.sent.size(), 3);
        b.d.wake(112);
        assertEquals(b.sent.size(), 4);
        b.d.wake(500);
        assertEquals(b.sent.size(), 4, "copies are assignments, of which there are four");
    }

    @Test
    public void noCopyGoesToTheOneWorkerThatHasTheTask() {
        Bench b = Bench.of(SAFE).start(1);
        arrive(b, 1, copies(2, 50, null));
        b.d.wake(51);
        b.d.wake(200);
        assertEquals(b.sent.size(), 1);
    }

    @Test
    public void copiesAreOutOfTheBudget() {
        Coins coins = new Coins(0);
        Bench b = Bench.of(SAFE).start(4);
        arrive(b, 1, copies(2, 50, coins));
        b.d.wake(51);
        assertEquals(b.sent.size(), 1);
    }

    /**
     * Guards rule two whatever the terms say: the file's checker refuses such terms, the module
     * does as well.
     */
    @Test
    public void onlyWhatIsIdempotentIsCopied() {
        for (Effect e : new Effect[] {Effect.FINGERPRINTED, Effect.SIDE_EFFECTING}) {
            Bench b = Bench.of(e).start(4);
            arrive(b, 1, copies(3, 50, null));
            b.d.wake(51);
            assertEquals(b.sent.size(), 1);
        }
    }

    @Test
    public void aClientThatLeavesEndsThePauseAndTheCopies() {
        Bench b = Bench.of(SAFE).start(4);
        Task t = arrive(b, 1, copies(2, 50, null));
        b.d.clientLeft(10, t);
        b.d.wake(60);
        assertEquals(b.sent.size(), 1);
        Task u = arrive(b, 70, terms(4, 20, 20, null));
        b.d.ended(75, b.last(), Outcome.ERROR, false, null);
        b.d.clientLeft(80, u);
        b.d.wake(100);
        assertEquals(b.sent.size(), 2);
    }

    // ---- Terms by the million ----

    @DataProvider
    public Object[][] effects() {
        return new Object[][] {
            {Effect.IDEMPOTENT}, {Effect.FINGERPRINTED}, {Effect.SIDE_EFFECTING}
        };
    }

    /**
     * Random terms, ends and times: one final answer at most, no assignment after what may have run
     * where the effect bars it, no two at a time where it is not idempotent, none at one worker
     * twice at a time, no more than terms and settings allow, and copies never more than allowed at
     * once.
     */
    @Test(dataProvider = "effects")
    public void noTermsBreakTheRules(Effect effect) {
        int copied = 0;
        for (int seed = 0; seed < 3000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            Bench b = Bench.of(effect);
            b.settings.mayCancel = r.nextBoolean();
            b.settings.maxAssignments = 1 + r.nextInt(4);
            b.start(1 + r.nextInt(5));
            Set<Outcome> again = r.nextInt(3) == 0 ? EnumSet.of(Outcome.ERROR, Outcome.FULL) : null;
            Terms terms =
                    new Terms(
                            1 + r.nextInt(5),
                            r.nextInt(2) * 200,
                            r.nextInt(3) * 20,
                            100,
                            r.nextDouble(),
                            1 + r.nextInt(3),
                            10 + r.nextInt(50),
                            r.nextInt(3) == 0 ? new Coins(r.nextInt(5)) : null,
                            again);
            Task t = arrive(b, 1, terms);
            List<Assignment> open = new ArrayList<>();
            int seen = 0;
            boolean ran = false;
            boolean over = false;
            for (double now = 2; now < 400; now += r.nextInt(20)) {
                for (; seen < b.sent.size(); seen++) {
                    Assignment a = b.sent.get(seen);
                    assertFalse(over, "seed " + seed + ": sent after the end");
                    assertTrue(
                            open.isEmpty() || effect == Effect.IDEMPOTENT,
                            "seed " + seed + ": overlap");
                    assertTrue(
                            open.stream().noneMatch(o -> o.worker == a.worker),
                            "seed " + seed + ": twice there");
                    assertFalse(
                            ran && effect == Effect.SIDE_EFFECTING, "seed " + seed + ": repeat");
                    open.add(a);
                    copied += open.size() > 1 ? 1 : 0;
                    assertTrue(
                            open.size() <= Math.max(1, terms.copies),
                            "seed " + seed + ": too many at once");
                }
                over = t.ended();
                assertTrue(
                        seen <= Math.min(terms.maxAssignments, b.settings.maxAssignments),
                        "seed " + seed);
                assertTrue(
                        b.count("bounce") + b.count("abandon") <= 1,
                        "seed " + seed + ": two answers");
                if (!open.isEmpty() && r.nextInt(3) == 0) {
                    Assignment a = open.remove(r.nextInt(open.size()));
                    Outcome how = t.ended() ? Outcome.CANCELLED : Outcome.values()[r.nextInt(6)];
                    ran |= !how.neverRan();
                    over |= how == Outcome.OK;
                    b.d.ended(now, a, how, over, null);
                } else {
                    b.d.wake(now);
                }
            }
        }
        assertEquals(copied > 100, effect == Effect.IDEMPOTENT, copied + " copies");
    }

    // ---- The storm ----

    /**
     * Simulated time: a fleet that fails everything after a while; gives firsts and repeats by
     * second.
     */
    private static int[][] storm(RetryBudget budget, int seed) {
        Bench b = Bench.of(SAFE).start(200);
        Terms terms = new Terms(4, 0, 0, 0, 0, 1, 0, budget, null);
        SplittableRandom r = new SplittableRandom(seed);
        int seconds = 30;
        int[][] counts = new int[2][seconds];
        PriorityQueue<double[]> ends = new PriorityQueue<>((x, y) -> Double.compare(x[0], y[0]));
        int seen = 0;
        double next = 0;
        double now = 0;
        while (now < 1000 * seconds) {
            boolean arrives = ends.isEmpty() || next <= ends.peek()[0];
            now = arrives ? next : ends.peek()[0];
            if (now >= 1000 * seconds) {
                break;
            }
            if (arrives) {
                arrive(b, now, terms);
                // Bursts and lulls: the rate changes each second by chance.
                next = now - Math.log(1 - r.nextDouble()) * (now % 3000 < 1000 ? 4 : 25);
            } else {
                b.d.ended(now, b.sent.get((int) ends.poll()[1]), Outcome.RESET, false, null);
            }
            for (; seen < b.sent.size(); seen++) {
                counts[b.sent.get(seen).number == 0 ? 0 : 1][(int) (now / 1000)]++;
                ends.add(new double[] {now + 5 + 20 * r.nextDouble(), seen});
            }
        }
        return counts;
    }

    @Test
    public void aFleetThatFailsEverythingGetsNoMoreThanTheBudget() {
        for (int seed = 0; seed < 5; seed++) {
            double share = 0.1;
            double least = 2;
            int[][] with =
                    storm(
                            new gingerspool.route.Budget(
                                    new gingerspool.route.Policy.Repeats(share, least)),
                            seed);
            int[][] without = storm(null, seed);
            int repeats = 0;
            int firsts = 0;
            int stormed = 0;
            for (int s = 0; s < with[0].length; s++) {
                // A second's own share and floor, and what may have been kept: one second of both.
                double kept = Math.max(1, least + share * 260);
                assertTrue(
                        with[1][s] <= share * with[0][s] + least + kept,
                        "seed "
                                + seed
                                + " second "
                                + s
                                + ": "
                                + with[1][s]
                                + " repeats of "
                                + with[0][s]);
                repeats += with[1][s];
                firsts += with[0][s];
                stormed += without[1][s];
            }
            assertTrue(
                    repeats <= share * firsts + least * with[0].length + 30,
                    repeats + " of " + firsts);
            assertTrue(
                    stormed > 2 * (share * firsts + least * with[0].length + 30),
                    "without a budget: "
                            + stormed
                            + " repeats of "
                            + java.util.Arrays.stream(without[0]).sum()
                            + ", with one "
                            + repeats
                            + " of "
                            + firsts);
        }
    }
}
