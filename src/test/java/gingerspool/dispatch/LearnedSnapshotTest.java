package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import gingerspool.wire.Json;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests the transfer of estimates to the next process through a {@link LearnedSnapshot}. */
public class LearnedSnapshotTest {
    private static final Effect IDEMPOTENT = Effect.IDEMPOTENT;
    private static final Effect SIDE_EFFECTING = Effect.SIDE_EFFECTING;

    /** All estimates, infinite and missing ones included, pass through JSON unchanged. */
    @Test
    public void nextProcessRestoresAllEstimates() throws Exception {
        DispatcherHarness previous = DispatcherHarness.of(IDEMPOTENT, SIDE_EFFECTING).start(3);
        for (int i = 0; i < 30; i++) {
            previous.arrive(i % 2, 10 * i);
            previous.dispatcher.ended(
                    10 * i + 7,
                    previous.lastSent(),
                    i % 7 == 0 ? Outcome.ERROR : Outcome.OK,
                    true,
                    DispatcherHarness.report(i % 3, 2));
        }
        Assignment unfinished = previous.forceSend(previous.task(0, 400, 100), 1, 400);
        previous.dispatcher.wake(400);
        Map<?, ?> snapshot = (Map<?, ?>) Json.read(Json.write(previous.dispatcher.learned()));
        DispatcherHarness next = DispatcherHarness.of(IDEMPOTENT, SIDE_EFFECTING);
        next.dispatcher = new Dispatcher(next.settings, 99, next);
        next.listWorkers(390, true, 3, Dispatcher.RUNNING, 0);
        double before = previous.dispatcher.fleet.peerJobs[1];
        next.dispatcher.restoreLearned(400, snapshot);
        assertEquals(next.dispatcher.fleet.peerJobs[1], before + unfinished.task.width, 1e-12);
        assertEquals(next.dispatcher.fleet.inFlight[1], 0);
        next.dispatcher.fleet.peerJobs[1] = before;
        previous.dispatcher.fleet.ownSlots[1] = 0;
        assertEquals(
                Json.write(next.dispatcher.learned()), Json.write(previous.dispatcher.learned()));
        assertEquals(next.dispatcher.fleet.order, previous.dispatcher.fleet.order);
        assertEquals(next.dispatcher.failRate(0, 0), previous.dispatcher.failRate(0, 0));
    }

    /**
     * In a deployment with other tasks and another order of the list, paces and cold budgets are
     * restored by worker name.
     */
    @Test
    public void restoresMachinesButNotTasksInOtherDeployment() throws Exception {
        DispatcherHarness previous = DispatcherHarness.of(IDEMPOTENT, SIDE_EFFECTING);
        previous.settings.notifiesStart = true;
        previous.start(3);
        for (int i = 0; i < 90; i++) {
            Assignment a = previous.forceSend(previous.task(0, 300 * i, 100), i % 3, 300 * i);
            previous.dispatcher.started(300 * i + 1, a);
            previous.dispatcher.ended(
                    300 * i + (i % 3 == 2 ? 251 : 51),
                    a,
                    Outcome.OK,
                    true,
                    DispatcherHarness.report(0, 2));
        }
        previous.listWorkers(70000, false, 1, Dispatcher.RUNNING, 69990);
        previous.arrive(0, 70000);
        Map<?, ?> snapshot = (Map<?, ?>) Json.read(Json.write(previous.dispatcher.learned()));
        DispatcherHarness next = DispatcherHarness.of(IDEMPOTENT, SIDE_EFFECTING);
        next.settings.notifiesStart = true;
        next.settings.profiles[0].dueTime = 2000;
        next.dispatcher = new Dispatcher(next.settings, 99, next);
        next.dispatcher.listBegins(70001, true);
        for (int w = 0; w < 4; w++) {
            next.dispatcher.workerNamed(w, "worker-" + (3 - w));
            next.dispatcher.listed(w, w % 2, 0, 0, Dispatcher.RUNNING, 2, w == 3 ? 69990 : 0);
        }
        next.dispatcher.listEnds(70001, true, false);
        double initialWork = next.dispatcher.profileWork[0];
        next.dispatcher.restoreLearned(70002, snapshot);
        assertEquals(next.dispatcher.fleet.logPace[1], previous.dispatcher.fleet.logPace[2]);
        assertTrue(
                next.dispatcher.pace(1) < 0.5 * next.dispatcher.pace(2),
                "worker-2 is the slow one");
        assertEquals(next.dispatcher.fleet.logPace[0], 0.0, "worker-3 is new");
        assertEquals(next.dispatcher.fleet.coldLevel[3], previous.dispatcher.fleet.coldLevel[0]);
        assertEquals(next.dispatcher.warmUp, previous.dispatcher.warmUp);
        assertEquals(next.dispatcher.profileWork[0], initialWork);
        assertEquals(Workers.sum(next.dispatcher.pooledPairs[0]), 0.0);
        assertEquals(next.dispatcher.lateShare, 0.0);
        // The first tasks are all sent, most of them to the workers known to be fast.
        for (int i = 0; i < 40; i++) {
            Task t = next.task(0, 70010 + 50 * i, 100);
            next.dispatcher.arrived(70010 + 50 * i, t);
            if (t.inFlight > 0) {
                next.dispatcher.ended(
                        70040 + 50 * i,
                        next.lastSent(),
                        Outcome.OK,
                        true,
                        DispatcherHarness.report(0, 2));
            }
        }
        assertEquals(next.countActions("bounce") + next.countActions("abandon"), 0);
        assertTrue(
                next.countActions("send 1") < next.countActions("send 2"), next.actions.toString());
    }

    /**
     * Fields of another size and values that are no numbers are ignored; all others are restored.
     */
    @Test
    public void ignoresInvalidFields() throws Exception {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(2);
        double[] slots = harness.dispatcher.fleet.slots.clone();
        double tag0 = harness.dispatcher.fleet.tag[0];
        double tag1 = harness.dispatcher.fleet.tag[1];
        harness.dispatcher.restoreLearned(
                5,
                (Map<?, ?>)
                        Json.read(
                                "{\"slots\":[7],\"others\":{},\"mixWork\":\"x\",\"odd\":1,"
                                        + "\"swift\":[0.5,\"y\"],\"sense.machines\":\"\",\"workers\":["
                                        + tag0
                                        + ","
                                        + tag1
                                        + "]}"));
        assertEquals(harness.dispatcher.fleet.slots, slots);
        assertEquals(harness.dispatcher.fleet.logPace[0], 0.5);
        assertEquals(harness.dispatcher.fleet.logPace[1], 0.0);
        harness.arrive(0, 6);
        assertEquals(harness.countActions("send"), 1);
    }
}
