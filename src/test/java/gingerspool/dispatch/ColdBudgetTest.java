package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import org.testng.annotations.Test;

/** Tests the limits on work sent to workers that are not warm yet. */
public class ColdBudgetTest {
    private static final Effect IDEMPOTENT = Effect.IDEMPOTENT;

    @Test
    public void coldWorkerGetsAtMostItsBudget() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(1);
        harness.listWorkers(20000, false, 1, Dispatcher.RUNNING, 20000);
        double work = 0;
        for (int i = 0; i < 50; i++) {
            harness.arrive(0, 20000 + i);
        }
        for (Assignment a : harness.sent) {
            work += a.task.work;
        }
        // Our third of 3 x a quarter of its capacity (2 slots) x 1000 ms.
        assertTrue(work <= 500, "work " + work);
        assertFalse(harness.dispatcher.inBudget(0, 1000));
    }

    /**
     * Guards against new workers that stay idle until they are warm when there are many
     * dispatchers.
     */
    @Test
    public void coldWorkerStillGetsTasksWithManyDispatchers() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT);
        harness.settings.dispatchers = 20;
        harness.settings.overloadFactor = 4;
        harness.start(1);
        harness.listWorkers(20000, false, 1, Dispatcher.RUNNING, 20000);
        for (int i = 0; i < 400; i++) {
            Task t = harness.task(0, 20000 + i * 10, 40);
            harness.dispatcher.arrived(20000 + i * 10, t);
        }
        double work = harness.sent.stream().mapToDouble(a -> a.task.work).sum();
        // At most our share, 1/20, of 4 x capacity (2 slots, at most half warm) over 4 s, plus one
        // task.
        assertTrue(harness.countActions("send") >= 1);
        assertTrue(work <= 4 * 2 * 0.55 * 4000 / 20 + 40, "work " + work);
    }

    /**
     * Guards against limiting warm workers: most of 438 dispatchers kept workers under the cold
     * budget long after these were warm.
     */
    @Test
    public void startedWorkerWarmsUpInTimeWithoutReports() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(1);
        harness.listWorkers(20000, false, 1, Dispatcher.RUNNING, 20000);
        harness.dispatcher.wake(20000 + harness.settings.warmUpSpan - 1);
        assertFalse(harness.dispatcher.inBudget(0, 5000));
        harness.dispatcher.wake(20000 + harness.settings.warmUpSpan);
        assertTrue(harness.dispatcher.inBudget(0, 5000));
    }

    /**
     * Guards against new workers that stay idle until they are warm because few dispatchers have
     * them among their candidates.
     */
    @Test
    public void coldWorkerIsScoredBesidesUsualCandidates() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT);
        harness.settings.dispatchers = 20;
        harness.start(40);
        harness.dispatcher.listBegins(10000, false);
        harness.dispatcher.listed(40, 0, 0, 0, Dispatcher.RUNNING, 2, 10000);
        harness.dispatcher.listEnds(10000, false, false);
        for (int i = 0; i < 8; i++) {
            for (int w = 0; w < 40; w++) {
                harness.dispatcher.reportReceived(
                        18980 + i, w, DispatcherHarness.report(20 + i, 0));
            }
        }
        for (int i = 0; i < 4; i++) {
            harness.dispatcher.reportReceived(
                    18990 + i, 40, DispatcherHarness.report(0, 2 - i / 10.0));
        }
        harness.arrive(0, 19000);
        assertEquals(harness.lastSent().worker, 40);
    }

    /**
     * Guards against assuming that new workers are full and slow: they stayed idle while others
     * were congested.
     */
    @Test
    public void newWorkerIsAssumedEmpty() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(8);
        for (int i = 0; i < 40; i++) {
            for (int w = 0; w < 8; w++) {
                harness.dispatcher.reportReceived(10 + i, w, DispatcherHarness.report(9 + i, 0));
            }
        }
        harness.dispatcher.listBegins(10000, false);
        harness.dispatcher.listed(8, 0, 0, 0, Dispatcher.RUNNING, 2, 10000);
        harness.dispatcher.listEnds(10000, false, false);
        assertTrue(
                harness.dispatcher.peerJobs(7) > 2, "peer jobs: " + harness.dispatcher.peerJobs(7));
        assertEquals(harness.dispatcher.peerJobs(8), 0.0);
    }

    /**
     * Compares the estimated pace of a cold worker that never answered with that of a warm one that
     * never did.
     */
    @Test
    public void warmUpIsLearnedForAllColdWorkers() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT);
        harness.settings.notifiesStart = true;
        harness.start(7);
        harness.listWorkers(20000, false, 6, Dispatcher.RUNNING, 20000);
        harness.dispatcher.wake(20500);
        double initial = harness.dispatcher.pace(5) / harness.dispatcher.pace(6);
        finishTasksOnColdWorkers(harness, 100);
        double learned = harness.dispatcher.pace(5) / harness.dispatcher.pace(6);
        assertTrue(learned > 1.1 * initial, learned + " after " + initial);
        finishTasksOnColdWorkers(harness, 2000);
        assertTrue(
                harness.dispatcher.pace(5) / harness.dispatcher.pace(6) < learned,
                "slow answers do not lower the pace");
    }

    private static void finishTasksOnColdWorkers(DispatcherHarness harness, double run) {
        for (int i = 0; i < 20; i++) {
            Assignment a = harness.forceSend(harness.task(0, 20500 - run, 100), i % 5, 20500 - run);
            harness.dispatcher.started(20500 - run, a);
            harness.dispatcher.ended(20500, a, Outcome.OK, true, null);
        }
    }

    /**
     * Guards the limit on cold workers: a resumed worker may have restarted, perhaps before the
     * list shows it. One resume call ends a suspension that was requested twice.
     */
    @Test
    public void resumedWorkerIsUsedWithinColdBudget() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT);
        harness.settings.profiles[0].dueTime = 1000;
        harness.start(1);
        Assignment a = harness.forceSend(harness.task(0, 5, 100), 0, 5);
        harness.dispatcher.suspended(10, 0);
        harness.dispatcher.suspended(11, 0);
        harness.dispatcher.ended(20, a, Outcome.UNREACHABLE, false, null);
        assertEquals(harness.countActions("send"), 0);
        harness.dispatcher.resumed(1000, 0);
        assertEquals(harness.dispatcher.fleet.startedAt[0], 1000.0);
        assertEquals(harness.dispatcher.failRate(0, 0), 0.0);
        for (int i = 0; i < 50; i++) {
            harness.arrive(0, 1000 + i);
        }
        assertTrue(harness.countActions("send") > 0, "the worker is a candidate again");
        assertTrue(
                harness.countActions("send") < 10,
                harness.countActions("send") + " sends to a cold worker");
    }
}
