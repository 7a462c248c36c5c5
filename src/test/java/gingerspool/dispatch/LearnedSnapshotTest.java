package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import gingerspool.wire.Json;
import java.util.Map;
import org.testng.annotations.Test;

/** What passes from one process to the next. */
public class LearnedSnapshotTest {
    private static final Effect IDEMPOTENT = Effect.IDEMPOTENT;
    private static final Effect SIDE_EFFECTING = Effect.SIDE_EFFECTING;

    /** Infinite and missing figures included, all that is learned comes through JSON as it was. */
    @Test
    public void nextProcessRestoresAllEstimates() throws Exception {
        Bench old = Bench.of(IDEMPOTENT, SIDE_EFFECTING).start(3);
        for (int i = 0; i < 30; i++) {
            old.arrive(i % 2, 10 * i);
            old.dispatcher.ended(
                    10 * i + 7,
                    old.lastSent(),
                    i % 7 == 0 ? Outcome.ERROR : Outcome.OK,
                    true,
                    Bench.report(i % 3, 2));
        }
        Assignment out = old.forceSend(old.task(0, 400, 100), 1, 400);
        old.dispatcher.wake(400);
        Map<?, ?> told = (Map<?, ?>) Json.read(Json.write(old.dispatcher.learned()));
        Bench next = Bench.of(IDEMPOTENT, SIDE_EFFECTING);
        next.dispatcher = new Dispatcher(next.settings, 99, next);
        next.listWorkers(390, true, 3, Dispatcher.RUNNING, 0);
        double before = old.dispatcher.fleet.peerJobs[1];
        next.dispatcher.restoreLearned(400, told);
        assertEquals(next.dispatcher.fleet.peerJobs[1], before + out.task.width, 1e-12);
        assertEquals(next.dispatcher.fleet.inFlight[1], 0);
        next.dispatcher.fleet.peerJobs[1] = before;
        old.dispatcher.fleet.ownSlots[1] = 0;
        assertEquals(Json.write(next.dispatcher.learned()), Json.write(old.dispatcher.learned()));
        assertEquals(next.dispatcher.fleet.order, old.dispatcher.fleet.order);
        assertEquals(next.dispatcher.failRate(0, 0), old.dispatcher.failRate(0, 0));
    }

    /** A move: other tasks, a list in another order. Speeds and cold budgets hold by name. */
    @Test
    public void restoresMachinesByNameAndResetsTasksForOtherDeployment() throws Exception {
        Bench old = Bench.of(IDEMPOTENT, SIDE_EFFECTING);
        old.settings.notifiesStart = true;
        old.start(3);
        for (int i = 0; i < 90; i++) {
            Assignment a = old.forceSend(old.task(0, 300 * i, 100), i % 3, 300 * i);
            old.dispatcher.started(300 * i + 1, a);
            old.dispatcher.ended(
                    300 * i + (i % 3 == 2 ? 251 : 51), a, Outcome.OK, true, Bench.report(0, 2));
        }
        old.listWorkers(70000, false, 1, Dispatcher.RUNNING, 69990);
        old.arrive(0, 70000);
        Map<?, ?> told = (Map<?, ?>) Json.read(Json.write(old.dispatcher.learned()));
        Bench next = Bench.of(IDEMPOTENT, SIDE_EFFECTING);
        next.settings.notifiesStart = true;
        next.settings.profiles[0].dueTime = 2000;
        next.dispatcher = new Dispatcher(next.settings, 99, next);
        next.dispatcher.listBegins(70001, true);
        for (int w = 0; w < 4; w++) {
            next.dispatcher.workerNamed(w, "worker-" + (3 - w));
            next.dispatcher.listed(w, w % 2, 0, 0, Dispatcher.RUNNING, 2, w == 3 ? 69990 : 0);
        }
        next.dispatcher.listEnds(70001, true, false);
        double fresh = next.dispatcher.profileWork[0];
        next.dispatcher.restoreLearned(70002, told);
        assertEquals(next.dispatcher.fleet.logPace[1], old.dispatcher.fleet.logPace[2]);
        assertTrue(
                next.dispatcher.pace(1) < 0.5 * next.dispatcher.pace(2),
                "worker-2 is the slow one");
        assertEquals(next.dispatcher.fleet.logPace[0], 0.0, "worker-3 is new");
        assertEquals(next.dispatcher.fleet.coldLevel[3], old.dispatcher.fleet.coldLevel[0]);
        assertEquals(next.dispatcher.warmUp, old.dispatcher.warmUp);
        assertEquals(next.dispatcher.profileWork[0], fresh);
        assertEquals(Workers.sum(next.dispatcher.pooledPairs[0]), 0.0);
        assertEquals(next.dispatcher.lateShare, 0.0);
        // The first seconds: what is asked for is sent, most of it to the workers known to be fast.
        for (int i = 0; i < 40; i++) {
            Task t = next.task(0, 70010 + 50 * i, 100);
            next.dispatcher.arrived(70010 + 50 * i, t);
            if (t.inFlight > 0) {
                next.dispatcher.ended(
                        70040 + 50 * i, next.lastSent(), Outcome.OK, true, Bench.report(0, 2));
            }
        }
        assertEquals(next.countActions("bounce") + next.countActions("abandon"), 0);
        assertTrue(
                next.countActions("send 1") < next.countActions("send 2"), next.actions.toString());
    }

    /** What is of another size, or no number, is not taken; the rest is. */
    @Test
    public void ignoresInvalidFields() throws Exception {
        Bench harness = Bench.of(IDEMPOTENT).start(2);
        double[] work = harness.dispatcher.fleet.slots.clone();
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
        assertEquals(harness.dispatcher.fleet.slots, work);
        assertEquals(harness.dispatcher.fleet.logPace[0], 0.5);
        assertEquals(harness.dispatcher.fleet.logPace[1], 0.0);
        harness.arrive(0, 6);
        assertEquals(harness.countActions("send"), 1);
    }
}
