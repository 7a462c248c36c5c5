package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import gingerspool.wire.Json;
import java.util.Map;
import org.testng.annotations.Test;

/** What passes from one process to the next. */
public class LearnedSnapshotTest {
    private static final Effect SAFE = Effect.IDEMPOTENT;
    private static final Effect ONCE = Effect.SIDE_EFFECTING;

    /** Infinite and missing figures included, all that is learned comes through JSON as it was. */
    @Test
    public void theNextProcessKnowsWhatThisOneHadLearned() throws Exception {
        Bench old = Bench.of(SAFE, ONCE).start(3);
        for (int i = 0; i < 30; i++) {
            old.arrive(i % 2, 10 * i);
            old.d.ended(
                    10 * i + 7,
                    old.last(),
                    i % 7 == 0 ? Outcome.ERROR : Outcome.OK,
                    true,
                    Bench.report(i % 3, 2));
        }
        Assignment out = old.sentTo(old.task(0, 400, 100), 1, 400);
        old.d.wake(400);
        Map<?, ?> told = (Map<?, ?>) Json.read(Json.write(old.d.learned()));
        Bench next = Bench.of(SAFE, ONCE);
        next.d = new Dispatcher(next.settings, 99, next);
        next.list(390, true, 3, Dispatcher.RUNNING, 0);
        double before = old.d.fleet.peerJobs[1];
        next.d.restoreLearned(400, told);
        assertEquals(next.d.fleet.peerJobs[1], before + out.task.width, 1e-12);
        assertEquals(next.d.fleet.inFlight[1], 0);
        next.d.fleet.peerJobs[1] = before;
        old.d.fleet.ownSlots[1] = 0;
        assertEquals(Json.write(next.d.learned()), Json.write(old.d.learned()));
        assertEquals(next.d.fleet.order, old.d.fleet.order);
        assertEquals(next.d.failRate(0, 0), old.d.failRate(0, 0));
    }

    /** A move: other tasks, a list in another order. Speeds and cold budgets hold by name. */
    @Test
    public void overAMoveMachinesAreKnownByNameAndTasksBeginAfresh() throws Exception {
        Bench old = Bench.of(SAFE, ONCE);
        old.settings.notifiesStart = true;
        old.start(3);
        for (int i = 0; i < 90; i++) {
            Assignment a = old.sentTo(old.task(0, 300 * i, 100), i % 3, 300 * i);
            old.d.started(300 * i + 1, a);
            old.d.ended(300 * i + (i % 3 == 2 ? 251 : 51), a, Outcome.OK, true, Bench.report(0, 2));
        }
        old.list(70000, false, 1, Dispatcher.RUNNING, 69990);
        old.arrive(0, 70000);
        Map<?, ?> told = (Map<?, ?>) Json.read(Json.write(old.d.learned()));
        Bench next = Bench.of(SAFE, ONCE);
        next.settings.notifiesStart = true;
        next.settings.profiles[0].dueTime = 2000;
        next.d = new Dispatcher(next.settings, 99, next);
        next.d.listBegins(70001, true);
        for (int w = 0; w < 4; w++) {
            next.d.workerNamed(w, "worker-" + (3 - w));
            next.d.listed(w, w % 2, 0, 0, Dispatcher.RUNNING, 2, w == 3 ? 69990 : 0);
        }
        next.d.listEnds(70001, true, false);
        double fresh = next.d.profileWork[0];
        next.d.restoreLearned(70002, told);
        assertEquals(next.d.fleet.logPace[1], old.d.fleet.logPace[2]);
        assertTrue(next.d.pace(1) < 0.5 * next.d.pace(2), "worker-2 is the slow one");
        assertEquals(next.d.fleet.logPace[0], 0.0, "worker-3 is new");
        assertEquals(next.d.fleet.coldLevel[3], old.d.fleet.coldLevel[0]);
        assertEquals(next.d.warmUp, old.d.warmUp);
        assertEquals(next.d.profileWork[0], fresh);
        assertEquals(Workers.sum(next.d.pooledPairs[0]), 0.0);
        assertEquals(next.d.lateShare, 0.0);
        // The first seconds: what is asked for is sent, most of it to the workers known to be fast.
        for (int i = 0; i < 40; i++) {
            Task t = next.task(0, 70010 + 50 * i, 100);
            next.d.arrived(70010 + 50 * i, t);
            if (t.inFlight > 0) {
                next.d.ended(70040 + 50 * i, next.last(), Outcome.OK, true, Bench.report(0, 2));
            }
        }
        assertEquals(next.count("bounce") + next.count("abandon"), 0);
        assertTrue(next.count("send 1") < next.count("send 2"), next.acts.toString());
    }

    /** What is of another size, or no number, is not taken; the rest is. */
    @Test
    public void whatDoesNotFitIsLeft() throws Exception {
        Bench b = Bench.of(SAFE).start(2);
        double[] work = b.d.fleet.slots.clone();
        double tag0 = b.d.fleet.tag[0];
        double tag1 = b.d.fleet.tag[1];
        b.d.restoreLearned(
                5,
                (Map<?, ?>)
                        Json.read(
                                "{\"slots\":[7],\"others\":{},\"mixWork\":\"x\",\"odd\":1,"
                                        + "\"swift\":[0.5,\"y\"],\"sense.machines\":\"\",\"workers\":["
                                        + tag0
                                        + ","
                                        + tag1
                                        + "]}"));
        assertEquals(b.d.fleet.slots, work);
        assertEquals(b.d.fleet.logPace[0], 0.5);
        assertEquals(b.d.fleet.logPace[1], 0.0);
        b.arrive(0, 6);
        assertEquals(b.count("send"), 1);
    }
}
