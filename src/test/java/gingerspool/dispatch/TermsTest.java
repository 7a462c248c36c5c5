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
    private static final Effect IDEMPOTENT = Effect.IDEMPOTENT;

    /** A budget of so many, which nothing fills up. */
    private static final class FixedBudget implements RetryBudget {
        int left;
        int earned;

        FixedBudget(int left) {
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

    private static Task arrive(Bench harness, double at, Terms terms) {
        Task t = harness.task(0, at, 100);
        t.terms = terms;
        harness.dispatcher.arrived(at, t);
        return t;
    }

    @Test
    public void termsLowerMaxAssignments() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, terms(2, 0, 0, null));
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        harness.dispatcher.ended(3, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void termsNeverRaiseMaxAssignments() {
        Bench harness = Bench.of(IDEMPOTENT);
        harness.settings.maxAssignments = 1;
        harness.start(4);
        arrive(harness, 1, terms(4, 0, 0, null));
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 1);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void pauseBetweenAssignmentsDoublesUpToMaximum() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, terms(4, 20, 30, null));
        harness.dispatcher.ended(10, harness.lastSent(), Outcome.ERROR, false, null);
        harness.dispatcher.wake(29);
        assertEquals(harness.sent.size(), 1);
        harness.dispatcher.wake(30);
        assertEquals(harness.sent.size(), 2);
        harness.dispatcher.ended(40, harness.lastSent(), Outcome.ERROR, false, null);
        harness.dispatcher.wake(69);
        assertEquals(harness.sent.size(), 2);
        harness.dispatcher.wake(70);
        assertEquals(harness.sent.size(), 3);
    }

    /** Found by reading: a change of the list looks at every task at once, and cut pauses short. */
    @Test
    public void workerListDoesNotShortenPause() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, terms(4, 20, 20, null));
        harness.dispatcher.ended(10, harness.lastSent(), Outcome.ERROR, false, null);
        harness.listWorkers(15, true, 4, Dispatcher.RUNNING, 0);
        assertEquals(harness.sent.size(), 1);
        harness.dispatcher.wake(30);
        assertEquals(harness.sent.size(), 2);
    }

    @Test
    public void givesUpAtOnceIfPauseExceedsExpiry() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, terms(4, 20, 20, null));
        harness.dispatcher.ended(4990, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void abandonsNonRetryableTaskWithoutPause() {
        Bench harness = Bench.of(Effect.SIDE_EFFECTING).start(4);
        arrive(harness, 1, terms(4, 20, 20, null));
        harness.dispatcher.ended(5, harness.lastSent(), Outcome.RESET, false, null);
        assertEquals(harness.countActions("abandon"), 1);
    }

    @Test
    public void retriesOnlyAfterRetryableOutcomes() {
        Terms t = new Terms(4, 0, 0, 0, 0, 1, 0, null, EnumSet.of(Outcome.FULL));
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, t);
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.FULL, false, null);
        assertEquals(harness.sent.size(), 2);
        harness.dispatcher.ended(3, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void passesTimeoutWithAssignment() {
        double[] told = new double[1];
        Bench harness = Bench.of(IDEMPOTENT);
        harness.start(2);
        DispatchActions out = harness;
        harness.dispatcher =
                new Dispatcher(
                        harness.settings,
                        7,
                        new ForwardingActions(out) {
                            @Override
                            public void send(Assignment a, double timeout) {
                                told[0] = timeout;
                                super.send(a, timeout);
                            }
                        });
        harness.listWorkers(0, true, 2, Dispatcher.RUNNING, 0);
        arrive(harness, 1, new Terms(4, 250, 0, 0, 0, 1, 0, null, null));
        assertEquals(told[0], 250.0);
    }

    /** Passes everything on. */
    private static class ForwardingActions implements DispatchActions {
        private final DispatchActions target;

        ForwardingActions(DispatchActions to) {
            this.target = to;
        }

        @Override
        public void send(Assignment a, double timeout) {
            target.send(a, timeout);
        }

        @Override
        public void bounce(Task t, double pause) {
            target.bounce(t, pause);
        }

        @Override
        public void abandon(Task t) {
            target.abandon(t);
        }

        @Override
        public void cancel(Assignment a) {
            target.cancel(a);
        }

        @Override
        public void probe(int worker) {
            target.probe(worker);
        }

        @Override
        public void watchList() {
            target.watchList();
        }

        @Override
        public void wakeAfter(double span) {
            target.wakeAfter(span);
        }
    }

    @Test
    public void bouncesTaskOverLimitWithRetryAdvice() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        Task t = harness.task(0, 1, 100);
        t.overLimit = true;
        t.retryAfter = 300;
        harness.dispatcher.arrived(1, t);
        assertEquals(harness.actions, List.of("bounce 300.0"));
        assertTrue(t.ended());
    }

    @Test
    public void givesUpAtOnceIfRetryBudgetIsSpent() {
        FixedBudget coins = new FixedBudget(1);
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, terms(4, 20, 20, coins));
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.ERROR, false, null);
        harness.dispatcher.wake(30);
        harness.dispatcher.ended(31, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.countActions("bounce"), 1);
        assertEquals(coins.earned, 1);
        assertEquals(coins.left, 0);
    }

    // ---- Copies ----

    @Test
    public void sendsCopyToAnotherWorkerAfterDelay() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, copies(2, 50, null));
        harness.dispatcher.wake(50);
        assertEquals(harness.sent.size(), 1);
        harness.dispatcher.wake(51);
        assertEquals(harness.sent.size(), 2);
        assertTrue(harness.sent.get(0).worker != harness.sent.get(1).worker);
        harness.dispatcher.wake(200);
        assertEquals(harness.sent.size(), 2, "no more than two at once");
    }

    @Test
    public void firstAnswerCancelsOtherCopy() {
        Bench harness = Bench.of(IDEMPOTENT);
        harness.settings.mayCancel = true;
        harness.start(4);
        Task t = arrive(harness, 1, copies(2, 50, null));
        harness.dispatcher.wake(51);
        harness.dispatcher.ended(60, harness.sent.get(1), Outcome.OK, true, null);
        assertEquals(harness.countActions("cancel"), 1);
        harness.dispatcher.ended(61, harness.sent.get(0), Outcome.CANCELLED, true, null);
        harness.dispatcher.wake(500);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.countActions("bounce") + harness.countActions("abandon"), 0);
        assertEquals(t.outstanding(), 0);
    }

    @Test
    public void retriesOnlyAfterAllCopiesFailed() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, copies(2, 50, null));
        harness.dispatcher.wake(51);
        harness.dispatcher.ended(60, harness.sent.get(0), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        harness.dispatcher.ended(61, harness.sent.get(1), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 3);
        harness.dispatcher.wake(110);
        assertEquals(harness.sent.size(), 3);
        harness.dispatcher.wake(112);
        assertEquals(harness.sent.size(), 4);
        harness.dispatcher.wake(500);
        assertEquals(harness.sent.size(), 4, "copies are assignments, of which there are four");
    }

    @Test
    public void sendsNoCopyToWorkerRunningTheTask() {
        Bench harness = Bench.of(IDEMPOTENT).start(1);
        arrive(harness, 1, copies(2, 50, null));
        harness.dispatcher.wake(51);
        harness.dispatcher.wake(200);
        assertEquals(harness.sent.size(), 1);
    }

    @Test
    public void copiesAreChargedToRetryBudget() {
        FixedBudget coins = new FixedBudget(0);
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        arrive(harness, 1, copies(2, 50, coins));
        harness.dispatcher.wake(51);
        assertEquals(harness.sent.size(), 1);
    }

    /**
     * Guards rule two whatever the terms say: the file's checker refuses such terms, the module
     * does as well.
     */
    @Test
    public void copiesOnlyIdempotentTasks() {
        for (Effect e : new Effect[] {Effect.FINGERPRINTED, Effect.SIDE_EFFECTING}) {
            Bench harness = Bench.of(e).start(4);
            arrive(harness, 1, copies(3, 50, null));
            harness.dispatcher.wake(51);
            assertEquals(harness.sent.size(), 1);
        }
    }

    @Test
    public void clientLeavingEndsPausesAndCopies() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        Task t = arrive(harness, 1, copies(2, 50, null));
        harness.dispatcher.clientLeft(10, t);
        harness.dispatcher.wake(60);
        assertEquals(harness.sent.size(), 1);
        Task u = arrive(harness, 70, terms(4, 20, 20, null));
        harness.dispatcher.ended(75, harness.lastSent(), Outcome.ERROR, false, null);
        harness.dispatcher.clientLeft(80, u);
        harness.dispatcher.wake(100);
        assertEquals(harness.sent.size(), 2);
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
    public void randomTermsNeverBreakRules(Effect effect) {
        int copied = 0;
        for (int seed = 0; seed < 3000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            Bench harness = Bench.of(effect);
            harness.settings.mayCancel = r.nextBoolean();
            harness.settings.maxAssignments = 1 + r.nextInt(4);
            harness.start(1 + r.nextInt(5));
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
                            r.nextInt(3) == 0 ? new FixedBudget(r.nextInt(5)) : null,
                            again);
            Task t = arrive(harness, 1, terms);
            List<Assignment> open = new ArrayList<>();
            int seen = 0;
            boolean ran = false;
            boolean over = false;
            for (double now = 2; now < 400; now += r.nextInt(20)) {
                for (; seen < harness.sent.size(); seen++) {
                    Assignment a = harness.sent.get(seen);
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
                        seen <= Math.min(terms.maxAssignments, harness.settings.maxAssignments),
                        "seed " + seed);
                assertTrue(
                        harness.countActions("bounce") + harness.countActions("abandon") <= 1,
                        "seed " + seed + ": two answers");
                if (!open.isEmpty() && r.nextInt(3) == 0) {
                    Assignment a = open.remove(r.nextInt(open.size()));
                    Outcome how = t.ended() ? Outcome.CANCELLED : Outcome.values()[r.nextInt(6)];
                    ran |= !how.neverRan();
                    over |= how == Outcome.OK;
                    harness.dispatcher.ended(now, a, how, over, null);
                } else {
                    harness.dispatcher.wake(now);
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
    private static int[][] simulateFailingFleet(RetryBudget budget, int seed) {
        Bench harness = Bench.of(IDEMPOTENT).start(200);
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
                arrive(harness, now, terms);
                // Bursts and lulls: the rate changes each second by chance.
                next = now - Math.log(1 - r.nextDouble()) * (now % 3000 < 1000 ? 4 : 25);
            } else {
                harness.dispatcher.ended(
                        now, harness.sent.get((int) ends.poll()[1]), Outcome.RESET, false, null);
            }
            for (; seen < harness.sent.size(); seen++) {
                counts[harness.sent.get(seen).number == 0 ? 0 : 1][(int) (now / 1000)]++;
                ends.add(new double[] {now + 5 + 20 * r.nextDouble(), seen});
            }
        }
        return counts;
    }

    @Test
    public void retriesStayWithinBudgetWhenAllTasksFail() {
        for (int seed = 0; seed < 5; seed++) {
            double share = 0.1;
            double least = 2;
            int[][] with =
                    simulateFailingFleet(
                            new gingerspool.route.Budget(
                                    new gingerspool.route.Policy.Repeats(share, least)),
                            seed);
            int[][] without = simulateFailingFleet(null, seed);
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
