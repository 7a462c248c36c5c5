package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tasks of one key in turn: each condition by itself, then random runs against an independent check. */
public class LineTest {
    private static final double REST = 200;

    private static Bench inOrder(Effect effect, int workers) {
        return inOrder(effect, workers, true, REST);
    }

    private static Bench inOrder(Effect effect, int workers, boolean ordered, double rest) {
        Bench b = Bench.of(effect);
        b.settings.profiles[0].inOrder = ordered;
        b.settings.profiles[0].dueTime = 3000;
        b.settings.keyRest = rest;
        return b.start(workers);
    }

    private static Task come(Bench b, String key, double at) {
        Task t = b.task(0, at, 100);
        t.key = key;
        b.d.arrived(at, t);
        return t;
    }

    @Test
    public void theNextGoesWhenTheOneBeforeIsOver() {
        Bench b = inOrder(Effect.IDEMPOTENT, 2);
        come(b, "k", 10);
        come(b, "k", 11);
        assertEquals(b.count("send"), 1);
        b.d.ended(50, b.last(), Outcome.OK, true, null);
        assertEquals(b.count("send"), 2);
    }

    @Test
    public void othersAndTasksWithoutAKeyAreFree() {
        Bench b = inOrder(Effect.IDEMPOTENT, 2);
        come(b, "k", 10);
        come(b, "other", 11);
        come(b, null, 12);
        come(b, null, 13);
        assertEquals(b.count("send"), 4);
    }

    @Test
    public void theHeadIsTriedAgainBeforeTheNextHasItsTurn() {
        Bench b = inOrder(Effect.IDEMPOTENT, 2);
        Task first = come(b, "k", 10);
        come(b, "k", 11);
        b.d.ended(50, b.last(), Outcome.ERROR, false, null);
        assertEquals(b.count("send"), 2);
        assertEquals(b.last().task, first);
    }

    /** A task that is over but has an assignment out keeps the line shut; after that the key rests. */
    @Test
    public void whatIsStillOutKeepsTheLineShutAndATimeOutHasTheKeyRest() {
        Bench b = inOrder(Effect.IDEMPOTENT, 2);
        Task first = come(b, "k", 10);
        Assignment a = b.last();
        come(b, "k", 11);
        b.d.left(20, first);
        b.d.wake(400);
        assertEquals(b.count("send"), 1);
        b.d.ended(500, a, Outcome.TIMEOUT, false, null);
        b.d.wake(500 + REST - 1);
        assertEquals(b.count("send"), 1);
        b.d.wake(500 + REST + 2);
        assertEquals(b.count("send"), 2);
    }

    @Test
    public void aTurnThatComesTooLateIsBouncedAtOnceAndOutOfTurn() {
        Bench b = inOrder(Effect.SIDE_EFFECTING, 2);
        for (int i = 0; i < 80; i++) {
            come(b, "k", 10);
        }
        assertEquals(b.count("send"), 1);
        assertTrue(b.count("bounce") > 20, b.count("bounce") + " bounced");
        b.d.ended(50, b.last(), Outcome.OK, true, null);
        assertEquals(b.count("send"), 2);
    }

    @Test
    public void theWorkBeforeATaskIsWhatStandsBeforeIt() {
        Line line = new Line(REST);
        Task[] t = new Task[3];
        for (int i = 0; i < 3; i++) {
            t[i] = new Task("t" + i);
            t[i].work = 100;
            line.join(t[i]);
        }
        assertEquals(line.workBefore(t[2], 0), 200.0);
        line.leave(t[1]);
        assertEquals(line.workBefore(t[2], 0), 100.0);
        assertEquals(line.first(), t[0]);
        line.leave(t[0]);
        assertTrue(line.hasTurn(t[2], 0));
        line.leave(t[2]);
        assertNull(line.first());
    }

    // ---- Random runs ----

    private enum Out { NOTHING, OVER }

    /** What one run broke, by a check that knows only arrivals, sends and outcomes; null if nothing. */
    private static String play(long seed, boolean ordered, double rest, Out without) {
        SplittableRandom chance = new SplittableRandom(seed);
        Bench b = inOrder(Effect.IDEMPOTENT, 4, ordered, rest);
        Map<String, List<Task>> taken = new HashMap<>();
        Map<Task, Integer> out = new HashMap<>();
        Map<String, Double> restUntil = new HashMap<>();
        List<Assignment> open = new ArrayList<>();
        Map<Task, Double> lastRisk = new HashMap<>();
        int seen = 0;
        for (double now = 10; now < 20_000; now += 1 + chance.nextInt(60)) {
            int what = chance.nextInt(4);
            if (what == 0) {
                String key = "k" + chance.nextInt(5);
                Task t = b.task(0, now, 50 + chance.nextInt(100));
                t.key = key;
                taken.computeIfAbsent(key, k -> new ArrayList<>()).add(t);
                b.d.arrived(now, t);
            } else if (what == 1 && !open.isEmpty()) {
                Assignment a = open.remove(chance.nextInt(open.size()));
                Outcome how = new Outcome[] {Outcome.OK, Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT,
                    Outcome.RESET, Outcome.FULL}[chance.nextInt(6)];
                out.merge(a.task, -1, Integer::sum);
                if (how == Outcome.TIMEOUT || how == Outcome.RESET) {
                    lastRisk.put(a.task, now);
                }
                b.d.ended(now, a, how, how == Outcome.OK, null);
            } else if (what == 2 && chance.nextInt(4) == 0) {
                List<Task> of = taken.getOrDefault("k" + chance.nextInt(5), List.of());
                if (!of.isEmpty() && !of.get(of.size() - 1).ended) {
                    b.d.left(now, of.get(of.size() - 1));
                }
            } else {
                b.d.wake(now);
            }
            for (; seen < b.sent.size(); seen++) {
                Assignment a = b.sent.get(seen);
                open.add(a);
                for (Task before : taken.get(a.task.key)) {
                    if (before == a.task) {
                        break;
                    }
                    if (without != Out.OVER && !before.ended) {
                        return seed + ": sent while an earlier one is not over";
                    }
                    if (out.getOrDefault(before, 0) > 0) {
                        return seed + ": sent while an earlier one has an assignment out";
                    }
                    if (now < lastRisk.getOrDefault(before, -1e9) + REST) {
                        return seed + ": sent while the key rests";
                    }
                }
                out.merge(a.task, 1, Integer::sum);
            }
        }
        return b.sent.size() < 50 ? seed + ": hardly anything was sent" : null;
    }

    @Test
    public void noRandomRunBreaksOrder() {
        for (long seed = 0; seed < 300; seed++) {
            assertNull(play(seed, true, REST, Out.NOTHING));
        }
    }

    /** The check is no rubber stamp: with a guard out each of its conditions is broken within a few runs. */
    @DataProvider
    public Object[][] guards() {
        return new Object[][] {{false, REST, Out.NOTHING, "not over"},
            {false, REST, Out.OVER, "assignment out"},
            {true, 0.0, Out.NOTHING, "key rests"}};
    }

    @Test(dataProvider = "guards")
    public void withAGuardOutTheCheckFindsTheBreach(boolean ordered, double rest, Out without, String text) {
        String found = null;
        for (long seed = 0; seed < 50 && found == null; seed++) {
            found = play(seed, ordered, rest, without);
        }
        assertTrue(found != null && found.contains(text), found);
    }

    /** Many keys and one hot one: nobody starves, since a line is a queue. */
    @Test
    public void besideAHotKeyTheOthersGoOn() {
        Bench b = inOrder(Effect.IDEMPOTENT, 4);
        for (int i = 0; i < 100; i++) {
            come(b, i % 2 == 0 ? "hot" : "k" + i, 10 + i);
        }
        long others = b.sent.stream().filter(a -> !a.task.key.equals("hot")).count();
        assertTrue(others >= 45, others + " of 50");
        assertFalse(b.sent.stream().filter(a -> a.task.key.equals("hot")).count() > 1);
    }

    /** All schedulers rank the workers alike for a key, whatever order they were listed in. */
    @Test
    public void aKeysTasksGoToTheSameWorkerAtEveryScheduler() {
        String[] chosen = new String[2];
        for (int s = 0; s < 2; s++) {
            Bench b = Bench.of(Effect.IDEMPOTENT);
            b.settings.fetchFee = 0.1;
            b.settings.profiles[0].dueTime = 3000;
            b.d = new Dispatcher(b.settings, s, b);
            for (int w = 0; w < 6; w++) {
                b.d.called(w, "w" + (s == 0 ? w : 5 - w));
            }
            b.list(0, true, 6, Dispatcher.RUNNING, 0);
            for (int w = 0; w < 6; w++) {
                b.d.probed(1, w, Bench.report(Double.NaN, 2));
            }
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 20; i++) {
                Task t = come(b, "key" + i, 10_000 * (i + 1));
                if (t.out == 1) {
                    all.append("w" + (s == 0 ? b.last().worker : 5 - b.last().worker) + " ");
                    b.d.ended(10_000 * (i + 1) + 50, b.last(), Outcome.OK, true, Bench.report(Double.NaN, 2));
                }
            }
            chosen[s] = all.toString();
        }
        assertEquals(chosen[1], chosen[0]);
        assertTrue(chosen[0].split(" ").length == 20 && chosen[0].split(" ")[0].length() == 2, chosen[0]);
    }
}
