package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import org.testng.annotations.Test;

/** Workers that are not warm yet. */
public class ColdBudgetTest {
    private static final Effect SAFE = Effect.IDEMPOTENT;

    @Test
    public void aColdWorkerGetsNoMoreThanItsShare() {
        Bench b = Bench.of(SAFE).start(1);
        b.list(20000, false, 1, Dispatcher.RUNNING, 20000);
        double work = 0;
        for (int i = 0; i < 50; i++) {
            b.arrive(0, 20000 + i);
        }
        for (Assignment a : b.sent) {
            work += a.task.work;
        }
        // A third of 3 x a quarter of its capacity (2 slots) x 1000 ms.
        assertTrue(work <= 500, "work " + work);
        assertFalse(b.d.inBudget(0, 1000));
    }

    /** Found in incident ie2c056: with many dispatchers new workers idled until they were warm. */
    @Test
    public void amongManyDispatchersAColdWorkerStillGetsSingleTasks() {
        Bench b = Bench.of(SAFE);
        b.settings.dispatchers = 20;
        b.settings.overloadFactor = 4;
        b.start(1);
        b.list(20000, false, 1, Dispatcher.RUNNING, 20000);
        for (int i = 0; i < 400; i++) {
            Task t = b.task(0, 20000 + i * 10, 40);
            b.d.arrived(20000 + i * 10, t);
        }
        double work = b.sent.stream().mapToDouble(a -> a.task.work).sum();
        // At most our part, 1/20, of 4 x capacity (2 slots, at most half warm) over 4 s, and one
        // task more.
        assertTrue(b.count("send") >= 1);
        assertTrue(work <= 4 * 2 * 0.55 * 4000 / 20 + 40, "work " + work);
    }

    /**
     * Found on incident i3d5089: most of 438 dispatchers kept workers long warm under the cold
     * budget.
     */
    @Test
    public void aWorkerSeenToStartIsWarmInTimeHeardOfOrNot() {
        Bench b = Bench.of(SAFE).start(1);
        b.list(20000, false, 1, Dispatcher.RUNNING, 20000);
        b.d.wake(20000 + b.settings.warmUpSpan - 1);
        assertFalse(b.d.inBudget(0, 5000));
        b.d.wake(20000 + b.settings.warmUpSpan);
        assertTrue(b.d.inBudget(0, 5000));
    }

    /**
     * Found in incident ic7dd21: a new worker was in few buddy sets and idled until it was warm.
     */
    @Test
    public void aColdWorkerIsWeighedBesideTheBuddySet() {
        Bench b = Bench.of(SAFE);
        b.settings.dispatchers = 20;
        b.start(40);
        b.d.listBegins(10000, false);
        b.d.listed(40, 0, 0, 0, Dispatcher.RUNNING, 2, 10000);
        b.d.listEnds(10000, false, false);
        for (int i = 0; i < 8; i++) {
            for (int w = 0; w < 40; w++) {
                b.d.reportReceived(18980 + i, w, Bench.report(20 + i, 0));
            }
        }
        for (int i = 0; i < 4; i++) {
            b.d.reportReceived(18990 + i, 40, Bench.report(0, 2 - i / 10.0));
        }
        b.arrive(0, 19000);
        assertEquals(b.last().worker, 40);
    }

    /**
     * Found on fleet days: new workers, as full and slow as could be feared, idled while others
     * jammed.
     */
    @Test
    public void aNewWorkerIsBelievedEmpty() {
        Bench b = Bench.of(SAFE).start(8);
        for (int i = 0; i < 40; i++) {
            for (int w = 0; w < 8; w++) {
                b.d.reportReceived(10 + i, w, Bench.report(9 + i, 0));
            }
        }
        b.d.listBegins(10000, false);
        b.d.listed(8, 0, 0, 0, Dispatcher.RUNNING, 2, 10000);
        b.d.listEnds(10000, false, false);
        assertTrue(b.d.peerJobs(7) > 2, "others " + b.d.peerJobs(7));
        assertEquals(b.d.peerJobs(8), 0.0);
    }

    /**
     * The believed pace of a cold worker that never answered, over that of a warm one that did not.
     */
    @Test
    public void whatSomeColdWorkersShowHoldsForTheOtherColdOnes() {
        Bench b = Bench.of(SAFE);
        b.settings.notifiesStart = true;
        b.start(7);
        b.list(20000, false, 6, Dispatcher.RUNNING, 20000);
        b.d.wake(20500);
        double feared = b.d.pace(5) / b.d.pace(6);
        runsOnColdOnes(b, 100);
        double seen = b.d.pace(5) / b.d.pace(6);
        assertTrue(seen > 1.1 * feared, seen + " of " + feared);
        runsOnColdOnes(b, 2000);
        assertTrue(b.d.pace(5) / b.d.pace(6) < seen, "no slower for slow answers");
    }

    private static void runsOnColdOnes(Bench b, double run) {
        for (int i = 0; i < 20; i++) {
            Assignment a = b.sentTo(b.task(0, 20500 - run, 100), i % 5, 20500 - run);
            b.d.started(20500 - run, a);
            b.d.ended(20500, a, Outcome.OK, true, null);
        }
    }

    /**
     * Guards rule four: it comes back cold, perhaps before the list tells so; a single call puts it
     * back.
     */
    @Test
    public void aResumedWorkerIsUsedAtOnceAndHeldToTheColdBudget() {
        Bench b = Bench.of(SAFE);
        b.settings.profiles[0].dueTime = 1000;
        b.start(1);
        Assignment a = b.sentTo(b.task(0, 5, 100), 0, 5);
        b.d.suspended(10, 0);
        b.d.suspended(11, 0);
        b.d.ended(20, a, Outcome.UNREACHABLE, false, null);
        assertEquals(b.count("send"), 0);
        b.d.resumed(1000, 0);
        assertEquals(b.d.fleet.startedAt[0], 1000.0);
        assertEquals(b.d.failRate(0, 0), 0.0);
        for (int i = 0; i < 50; i++) {
            b.arrive(0, 1000 + i);
        }
        assertTrue(b.count("send") > 0, "it is weighed again");
        assertTrue(b.count("send") < 10, b.count("send") + " sends to a cold worker");
    }
}
