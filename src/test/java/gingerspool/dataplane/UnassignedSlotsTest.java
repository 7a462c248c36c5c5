package gingerspool.dataplane;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates schedulers without a leader that compete for one slot of a function, each with its own
 * stream of requests. Times are in milliseconds.
 */
public class UnassignedSlotsTest {
    private static final double DURATION_MS = 120_000;
    private static final double SERVICE_TIME_MS = 100;

    @DataProvider
    Object[][] sizes() {
        // Schedulers, rejections allowed, mean time between requests at one scheduler.
        return new Object[][] {
            {6, 10, 50}, {8, 10, 50}, {8, 10, 5000}, {61, 16, 200}, {89, 18, 50}, {89, 18, 2000}
        };
    }

    /**
     * The largest number of rejections in a window must not exceed the allowance, over many seeds.
     */
    @Test(dataProvider = "sizes")
    public void rejectionsStayWithinTheAllowance(int schedulers, int allowed, double meanPause) {
        int worst = 0;
        int served = 0;
        for (long seed = 1; seed <= 40; seed++) {
            int[] counts = simulate(seed, schedulers, allowed, meanPause, true);
            worst = Math.max(worst, counts[0]);
            served += counts[1];
        }
        assertTrue(worst <= allowed, worst + " rejections in a window, allowed " + allowed);
        assertTrue(served > 0, "no request was served");
    }

    @Test
    public void withoutTheLimitRejectionsExceedTheAllowance() {
        assertTrue(
                simulate(1, 8, 10, 50, false)[0] > 100,
                "rejections exceed the allowance without the limit");
    }

    /** Returns the largest number of rejections in a window and the number of requests served. */
    private static int[] simulate(
            long seed, int schedulers, int allowed, double meanPause, boolean isLimited) {
        SplittableRandom random = new SplittableRandom(seed);
        List<UnassignedSlots> limiters = new ArrayList<>();
        double[] nextArrivalAt = new double[schedulers];
        double[] busyUntil = new double[schedulers];
        for (int i = 0; i < schedulers; i++) {
            limiters.add(new UnassignedSlots(allowed, seed * 1000 + i));
            nextArrivalAt[i] = meanPause * random.nextDouble();
            // Each had received requests at this rate before the leader was lost.
            for (double time = -30_000; time < 0; time += meanPause) {
                limiters.get(i).onArrival(time);
            }
        }
        List<Double> rejectedAt = new ArrayList<>();
        double slotFreeAt = 0;
        int served = 0;
        for (double now = 0; now < DURATION_MS; now += 5) {
            for (int i = 0; i < schedulers; i++) {
                if (now < nextArrivalAt[i] || now < busyUntil[i]) {
                    continue;
                }
                nextArrivalAt[i] = now - meanPause * Math.log(1 - random.nextDouble());
                limiters.get(i).onArrival(now);
                if (isLimited && !limiters.get(i).allows(now, schedulers)) {
                    continue;
                }
                if (now < slotFreeAt) {
                    rejectedAt.add(now);
                    limiters.get(i).onRejected(now, schedulers);
                } else {
                    served++;
                    slotFreeAt = now + SERVICE_TIME_MS;
                    busyUntil[i] = slotFreeAt;
                }
            }
        }
        int worst = 0;
        for (int first = 0, last = 0; last < rejectedAt.size(); last++) {
            while (rejectedAt.get(first)
                    < rejectedAt.get(last) - UnassignedSlots.REJECTION_WINDOW_MS) {
                first++;
            }
            worst = Math.max(worst, last - first + 1);
        }
        return new int[] {worst, served};
    }
}
