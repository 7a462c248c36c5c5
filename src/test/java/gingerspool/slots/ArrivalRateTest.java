package gingerspool.slots;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class ArrivalRateTest {
    private static final double SPAN = 1000;

    /**
     * Plays Poisson arrivals at so many a second and returns the mean of what was to be provided
     * for.
     */
    private static double play(
            ArrivalRate a, double from, double until, double perSecond, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        double sum = 0;
        int n = 0;
        double next = from;
        for (double now = from; now < until; now += 50) {
            int more = 0;
            while (next <= now) {
                more++;
                next -= Math.log(1 - chance.nextDouble()) * 1000 / perSecond;
            }
            a.add(now, more);
            sum += 1000 * a.provisionedRate();
            n++;
        }
        return sum / n;
    }

    /** Chance alone is provided for only a little: a peak is a burst where it is surely one. */
    @Test
    public void chanceAloneIsNoBurst() {
        for (long seed = 1; seed <= 20; seed++) {
            ArrivalRate a = new ArrivalRate(SPAN);
            play(a, 0, 10_000, 8, seed);
            double mean = play(a, 10_000, 40_000, 8, seed + 100);
            assertTrue(
                    mean > 7 && mean < 13, "provided for " + mean + " of 8 a second, seed " + seed);
        }
    }

    @Test
    public void aBurstIsSeenWithinItsFirstSecondAndHeld() {
        ArrivalRate a = new ArrivalRate(SPAN);
        play(a, 0, 10_000, 10, 1);
        play(a, 10_000, 11_000, 40, 2);
        assertTrue(1000 * a.provisionedRate() > 22, "provided for " + 1000 * a.provisionedRate());
        play(a, 11_000, 12_000, 10, 3);
        assertTrue(1000 * a.provisionedRate() > 18, "held for a while");
        play(a, 12_000, 30_000, 10, 4);
        assertTrue(1000 * a.provisionedRate() < 17, "and let go");
    }

    @Test
    public void theUsualRateCountsOnlyTheTimeThatWasWatched() {
        ArrivalRate a = new ArrivalRate(SPAN);
        a.add(0, 0);
        for (int i = 1; i <= 20; i++) {
            a.add(100 * i, 1);
        }
        assertEquals(1000 * a.expectedRate(), 10, 1);
        assertTrue(!a.isKnown());
        for (int i = 0; i < 200; i++) {
            a.add(2000 + 100 * i, 0);
        }
        assertTrue(a.isKnown());
        assertTrue(1000 * a.expectedRate() < 1, "forgotten at a stated pace");
    }
}
