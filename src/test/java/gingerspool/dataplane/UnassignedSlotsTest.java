package gingerspool.dataplane;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** All schedulers without a leader, each with a stream of requests for one function of one slot. */
public class UnassignedSlotsTest {
    private static final double SPAN = 120_000;
    private static final double RUN = 100;

    @DataProvider
    Object[][] sizes() {
        // Schedulers, refusals allowed, mean pause between requests at one scheduler.
        return new Object[][] {
            {6, 10, 50}, {8, 10, 50}, {8, 10, 5000}, {61, 16, 200}, {89, 18, 50}, {89, 18, 2000}
        };
    }

    /** The most refusals within any window, and how many were served, over many seeds. */
    @Test(dataProvider = "sizes")
    public void refusalsStayWithinWhatIsAllowed(int schedulers, int allowed, double pause) {
        int worst = 0;
        int served = 0;
        for (long seed = 1; seed <= 40; seed++) {
            int[] result = play(seed, schedulers, allowed, pause, true);
            worst = Math.max(worst, result[0]);
            served += result[1];
        }
        assertTrue(worst <= allowed, worst + " refusals in a window, allowed " + allowed);
        assertTrue(served > 0, "nobody was served");
    }

    @Test
    public void withoutTheLimitRefusalsGoFarBeyond() {
        assertTrue(play(1, 8, 10, 50, false)[0] > 100, "the count of refusals is useUnassigned");
    }

    private static int[] play(
            long seed, int schedulers, int allowed, double pause, boolean limited) {
        SplittableRandom chance = new SplittableRandom(seed);
        List<UnassignedSlots> all = new ArrayList<>();
        double[] next = new double[schedulers];
        double[] busyUntil = new double[schedulers];
        for (int i = 0; i < schedulers; i++) {
            all.add(new UnassignedSlots(allowed, seed * 1000 + i));
            next[i] = pause * chance.nextDouble();
            // Each knew a stream of requests before the leader went.
            for (double t = -30_000; t < 0; t += pause) {
                all.get(i).onArrival(t);
            }
        }
        List<Double> refused = new ArrayList<>();
        double slotFreeAt = 0;
        int served = 0;
        for (double now = 0; now < SPAN; now += 5) {
            for (int i = 0; i < schedulers; i++) {
                if (now < next[i] || now < busyUntil[i]) {
                    continue;
                }
                next[i] = now - pause * Math.log(1 - chance.nextDouble());
                all.get(i).onArrival(now);
                if (limited && !all.get(i).allows(now, schedulers)) {
                    continue;
                }
                if (now < slotFreeAt) {
                    refused.add(now);
                    all.get(i).onRejected(now, schedulers);
                } else {
                    served++;
                    slotFreeAt = now + RUN;
                    busyUntil[i] = slotFreeAt;
                }
            }
        }
        int worst = 0;
        for (int first = 0, last = 0; last < refused.size(); last++) {
            while (refused.get(first) < refused.get(last) - UnassignedSlots.REJECTION_WINDOW_MS) {
                first++;
            }
            worst = Math.max(worst, last - first + 1);
        }
        return new int[] {worst, served};
    }
}
