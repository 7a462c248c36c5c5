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

/** Tests how an operator's {@link Terms} limit retries, pauses, timeouts and copies. */
public class TermsTest {
    private static final Effect IDEMPOTENT = Effect.IDEMPOTENT;

    /** A retry budget of a fixed number of retries, which first tries do not refill. */
    private static final class FixedBudget implements RetryBudget {
        int remaining;
        int earned;

        FixedBudget(int remaining) {
            this.remaining = remaining;
        }

        @Override
        public void earn(double now) {
            earned++;
        }

        @Override
        public boolean allows(double now) {
            return remaining > 0;
        }

        @Override
        public void spend(double now) {
            remaining--;
        }
    }

    private static Terms termsWithPause(
            int maxAssignments, double firstPause, double maxPause, RetryBudget budget) {
        return new Terms(maxAssignments, 0, firstPause, maxPause, 0, 1, 0, budget, null);
    }

    private static Terms termsWithCopies(int copies, double copyDelay, RetryBudget budget) {
        return new Terms(4, 0, 0, 0, 0, copies, copyDelay, budget, null);
    }

    private static Task arrive(DispatcherHarness harness, double at, Terms terms) {
        Task t = harness.task(0, at, 100);
        t.terms = terms;
        harness.dispatcher.arrived(at, t);
        return t;
    }

    @Test
    public void termsLowerMaxAssignments() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithPause(2, 0, 0, null));
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        harness.dispatcher.ended(3, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void termsNeverRaiseMaxAssignments() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT);
        harness.settings.maxAssignments = 1;
        harness.start(4);
        arrive(harness, 1, termsWithPause(4, 0, 0, null));
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 1);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void pauseBetweenAssignmentsDoublesUpToMaximum() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithPause(4, 20, 30, null));
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

    /**
     * Guards against pauses cut short when a worker list makes all pending tasks be decided again.
     */
    @Test
    public void workerListDoesNotShortenPause() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithPause(4, 20, 20, null));
        harness.dispatcher.ended(10, harness.lastSent(), Outcome.ERROR, false, null);
        harness.listWorkers(15, true, 4, Dispatcher.RUNNING, 0);
        assertEquals(harness.sent.size(), 1);
        harness.dispatcher.wake(30);
        assertEquals(harness.sent.size(), 2);
    }

    @Test
    public void givesUpAtOnceIfPauseExceedsExpiry() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithPause(4, 20, 20, null));
        harness.dispatcher.ended(4990, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void abandonsNonRetryableTaskWithoutPause() {
        DispatcherHarness harness = DispatcherHarness.of(Effect.SIDE_EFFECTING).start(4);
        arrive(harness, 1, termsWithPause(4, 20, 20, null));
        harness.dispatcher.ended(5, harness.lastSent(), Outcome.RESET, false, null);
        assertEquals(harness.countActions("abandon"), 1);
    }

    @Test
    public void retriesOnlyAfterRetryableOutcomes() {
        Terms terms = new Terms(4, 0, 0, 0, 0, 1, 0, null, EnumSet.of(Outcome.FULL));
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, terms);
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.FULL, false, null);
        assertEquals(harness.sent.size(), 2);
        harness.dispatcher.ended(3, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.countActions("bounce"), 1);
    }

    @Test
    public void passesTimeoutWithAssignment() {
        double[] sentTimeout = new double[1];
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT);
        harness.start(2);
        DispatchActions target = harness;
        harness.dispatcher =
                new Dispatcher(
                        harness.settings,
                        7,
                        new ForwardingActions(target) {
                            @Override
                            public void send(Assignment a, double timeout) {
                                sentTimeout[0] = timeout;
                                super.send(a, timeout);
                            }
                        });
        harness.listWorkers(0, true, 2, Dispatcher.RUNNING, 0);
        arrive(harness, 1, new Terms(4, 250, 0, 0, 0, 1, 0, null, null));
        assertEquals(sentTimeout[0], 250.0);
    }

    /** Forwards all actions except messages to peers. */
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
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        Task t = harness.task(0, 1, 100);
        t.overLimit = true;
        t.retryAfter = 300;
        harness.dispatcher.arrived(1, t);
        assertEquals(harness.actions, List.of("bounce 300.0"));
        assertTrue(t.ended());
    }

    @Test
    public void givesUpAtOnceIfRetryBudgetIsSpent() {
        FixedBudget budget = new FixedBudget(1);
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithPause(4, 20, 20, budget));
        harness.dispatcher.ended(2, harness.lastSent(), Outcome.ERROR, false, null);
        harness.dispatcher.wake(30);
        harness.dispatcher.ended(31, harness.lastSent(), Outcome.ERROR, false, null);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.countActions("bounce"), 1);
        assertEquals(budget.earned, 1);
        assertEquals(budget.remaining, 0);
    }

    // ---- Copies ----

    @Test
    public void sendsCopyToAnotherWorkerAfterDelay() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithCopies(2, 50, null));
        harness.dispatcher.wake(50);
        assertEquals(harness.sent.size(), 1);
        harness.dispatcher.wake(51);
        assertEquals(harness.sent.size(), 2);
        assertTrue(harness.sent.get(0).worker != harness.sent.get(1).worker);
        harness.dispatcher.wake(200);
        assertEquals(harness.sent.size(), 2, "at most two copies in flight");
    }

    @Test
    public void firstAnswerCancelsOtherCopy() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT);
        harness.settings.mayCancel = true;
        harness.start(4);
        Task t = arrive(harness, 1, termsWithCopies(2, 50, null));
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
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithCopies(2, 50, null));
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
        assertEquals(harness.sent.size(), 4, "copies count toward the maximum of four assignments");
    }

    @Test
    public void sendsNoCopyToWorkerRunningTheTask() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(1);
        arrive(harness, 1, termsWithCopies(2, 50, null));
        harness.dispatcher.wake(51);
        harness.dispatcher.wake(200);
        assertEquals(harness.sent.size(), 1);
    }

    @Test
    public void copiesAreChargedToRetryBudget() {
        FixedBudget budget = new FixedBudget(0);
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        arrive(harness, 1, termsWithCopies(2, 50, budget));
        harness.dispatcher.wake(51);
        assertEquals(harness.sent.size(), 1);
    }

    /**
     * Guards against running a task twice that must not be: the configuration check rejects such
     * terms, and the dispatcher does not rely on it.
     */
    @Test
    public void copiesOnlyIdempotentTasks() {
        for (Effect e : new Effect[] {Effect.FINGERPRINTED, Effect.SIDE_EFFECTING}) {
            DispatcherHarness harness = DispatcherHarness.of(e).start(4);
            arrive(harness, 1, termsWithCopies(3, 50, null));
            harness.dispatcher.wake(51);
            assertEquals(harness.sent.size(), 1);
        }
    }

    @Test
    public void clientLeavingEndsPausesAndCopies() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        Task copied = arrive(harness, 1, termsWithCopies(2, 50, null));
        harness.dispatcher.clientLeft(10, copied);
        harness.dispatcher.wake(60);
        assertEquals(harness.sent.size(), 1);
        Task paused = arrive(harness, 70, termsWithPause(4, 20, 20, null));
        harness.dispatcher.ended(75, harness.lastSent(), Outcome.ERROR, false, null);
        harness.dispatcher.clientLeft(80, paused);
        harness.dispatcher.wake(100);
        assertEquals(harness.sent.size(), 2);
    }

    // ---- Random terms ----

    @DataProvider
    public Object[][] effects() {
        return new Object[][] {
            {Effect.IDEMPOTENT}, {Effect.FINGERPRINTED}, {Effect.SIDE_EFFECTING}
        };
    }

    /**
     * Random terms, outcomes and times: at most one final answer, no assignment after one that may
     * have run if the effect forbids it, no overlap unless the task is idempotent, no two
     * assignments in flight at one worker, and no more assignments or copies in flight than the
     * terms and settings allow.
     */
    @Test(dataProvider = "effects")
    public void randomTermsNeverBreakRules(Effect effect) {
        int copiesSent = 0;
        for (int seed = 0; seed < 3000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            DispatcherHarness harness = DispatcherHarness.of(effect);
            harness.settings.mayCancel = random.nextBoolean();
            harness.settings.maxAssignments = 1 + random.nextInt(4);
            harness.start(1 + random.nextInt(5));
            Set<Outcome> retryable =
                    random.nextInt(3) == 0 ? EnumSet.of(Outcome.ERROR, Outcome.FULL) : null;
            Terms terms =
                    new Terms(
                            1 + random.nextInt(5),
                            random.nextInt(2) * 200,
                            random.nextInt(3) * 20,
                            100,
                            random.nextDouble(),
                            1 + random.nextInt(3),
                            10 + random.nextInt(50),
                            random.nextInt(3) == 0 ? new FixedBudget(random.nextInt(5)) : null,
                            retryable);
            Task t = arrive(harness, 1, terms);
            List<Assignment> inFlight = new ArrayList<>();
            int checked = 0;
            boolean mayHaveRun = false;
            boolean taskEnded = false;
            for (double now = 2; now < 400; now += random.nextInt(20)) {
                for (; checked < harness.sent.size(); checked++) {
                    Assignment a = harness.sent.get(checked);
                    assertFalse(taskEnded, "seed " + seed + ": sent after the task ended");
                    assertTrue(
                            inFlight.isEmpty() || effect == Effect.IDEMPOTENT,
                            "seed " + seed + ": overlapping assignments");
                    assertTrue(
                            inFlight.stream().noneMatch(o -> o.worker == a.worker),
                            "seed " + seed + ": two in flight at one worker");
                    assertFalse(
                            mayHaveRun && effect == Effect.SIDE_EFFECTING,
                            "seed " + seed + ": retried after it may have run");
                    inFlight.add(a);
                    copiesSent += inFlight.size() > 1 ? 1 : 0;
                    assertTrue(
                            inFlight.size() <= Math.max(1, terms.copies),
                            "seed " + seed + ": too many in flight");
                }
                taskEnded = t.ended();
                assertTrue(
                        checked <= Math.min(terms.maxAssignments, harness.settings.maxAssignments),
                        "seed " + seed);
                assertTrue(
                        harness.countActions("bounce") + harness.countActions("abandon") <= 1,
                        "seed " + seed + ": more than one final answer");
                if (!inFlight.isEmpty() && random.nextInt(3) == 0) {
                    Assignment a = inFlight.remove(random.nextInt(inFlight.size()));
                    Outcome outcome =
                            t.ended() ? Outcome.CANCELLED : Outcome.values()[random.nextInt(6)];
                    mayHaveRun |= !outcome.neverRan();
                    taskEnded |= outcome == Outcome.OK;
                    harness.dispatcher.ended(now, a, outcome, taskEnded, null);
                } else {
                    harness.dispatcher.wake(now);
                }
            }
        }
        assertEquals(copiesSent > 100, effect == Effect.IDEMPOTENT, copiesSent + " copies");
    }

    // ---- Retry storms ----

    /**
     * Simulates a fleet that fails every task 5 to 25 ms after it is sent. Returns the first tries
     * and the retries, by second.
     */
    private static int[][] simulateFailingFleet(RetryBudget budget, int seed) {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(200);
        Terms terms = new Terms(4, 0, 0, 0, 0, 1, 0, budget, null);
        SplittableRandom random = new SplittableRandom(seed);
        int seconds = 30;
        int[][] counts = new int[2][seconds];
        PriorityQueue<double[]> failures =
                new PriorityQueue<>((x, y) -> Double.compare(x[0], y[0]));
        int counted = 0;
        double nextArrival = 0;
        double now = 0;
        while (now < 1000 * seconds) {
            boolean arrives = failures.isEmpty() || nextArrival <= failures.peek()[0];
            now = arrives ? nextArrival : failures.peek()[0];
            if (now >= 1000 * seconds) {
                break;
            }
            if (arrives) {
                arrive(harness, now, terms);
                // Alternates bursts (mean gap 4 ms, every third second) and lulls (25 ms).
                nextArrival =
                        now - Math.log(1 - random.nextDouble()) * (now % 3000 < 1000 ? 4 : 25);
            } else {
                harness.dispatcher.ended(
                        now,
                        harness.sent.get((int) failures.poll()[1]),
                        Outcome.RESET,
                        false,
                        null);
            }
            for (; counted < harness.sent.size(); counted++) {
                counts[harness.sent.get(counted).number == 0 ? 0 : 1][(int) (now / 1000)]++;
                failures.add(new double[] {now + 5 + 20 * random.nextDouble(), counted});
            }
        }
        return counts;
    }

    @Test
    public void retriesStayWithinBudgetWhenAllTasksFail() {
        for (int seed = 0; seed < 5; seed++) {
            double share = 0.1;
            double minPerSecond = 2;
            int[][] withBudget =
                    simulateFailingFleet(
                            new gingerspool.route.TokenRetryBudget(
                                    new gingerspool.route.Policy.Repeats(share, minPerSecond)),
                            seed);
            int[][] withoutBudget = simulateFailingFleet(null, seed);
            int retries = 0;
            int firstTries = 0;
            int retriesWithoutBudget = 0;
            for (int second = 0; second < withBudget[0].length; second++) {
                // The share and minimum of this second, and one second of both carried over.
                double carriedOver = Math.max(1, minPerSecond + share * 260);
                assertTrue(
                        withBudget[1][second]
                                <= share * withBudget[0][second] + minPerSecond + carriedOver,
                        "seed "
                                + seed
                                + " second "
                                + second
                                + ": "
                                + withBudget[1][second]
                                + " retries of "
                                + withBudget[0][second]);
                retries += withBudget[1][second];
                firstTries += withBudget[0][second];
                retriesWithoutBudget += withoutBudget[1][second];
            }
            assertTrue(
                    retries <= share * firstTries + minPerSecond * withBudget[0].length + 30,
                    retries + " of " + firstTries);
            assertTrue(
                    retriesWithoutBudget
                            > 2 * (share * firstTries + minPerSecond * withBudget[0].length + 30),
                    "without a budget: "
                            + retriesWithoutBudget
                            + " retries of "
                            + java.util.Arrays.stream(withoutBudget[0]).sum()
                            + ", with a budget "
                            + retries
                            + " of "
                            + firstTries);
        }
    }
}
