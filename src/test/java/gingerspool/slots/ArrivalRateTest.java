package gingerspool.slots;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class ArrivalRateTest {
    private static final double SHORT_WINDOW_MS = 1000;

    /**
     * Feeds Poisson arrivals to the estimate and returns the mean provisioned rate in requests per
     * second. Times are milliseconds.
     */
    private static double simulateArrivals(
            ArrivalRate arrivalRate,
            double from,
            double until,
            double requestsPerSecond,
            long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double sum = 0;
        int samples = 0;
        double nextArrivalAt = from;
        for (double now = from; now < until; now += 50) {
            int newRequests = 0;
            while (nextArrivalAt <= now) {
                newRequests++;
                nextArrivalAt -= Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
            }
            arrivalRate.add(now, newRequests);
            sum += 1000 * arrivalRate.provisionedRate();
            samples++;
        }
        return sum / samples;
    }

    /** Random peaks of a constant arrival rate raise the provisioned rate only a little. */
    @Test
    public void randomVariationIsNotABurst() {
        for (long seed = 1; seed <= 20; seed++) {
            ArrivalRate arrivalRate = new ArrivalRate(SHORT_WINDOW_MS);
            simulateArrivals(arrivalRate, 0, 10_000, 8, seed);
            double mean = simulateArrivals(arrivalRate, 10_000, 40_000, 8, seed + 100);
            assertTrue(
                    mean > 7 && mean < 13,
                    "provisioned rate " + mean + " for 8 requests per second, seed " + seed);
        }
    }

    @Test
    public void burstRaisesTheProvisionedRateWithinOneSecond() {
        ArrivalRate arrivalRate = new ArrivalRate(SHORT_WINDOW_MS);
        simulateArrivals(arrivalRate, 0, 10_000, 10, 1);
        simulateArrivals(arrivalRate, 10_000, 11_000, 40, 2);
        assertTrue(
                1000 * arrivalRate.provisionedRate() > 22,
                "provisioned rate " + 1000 * arrivalRate.provisionedRate());
        simulateArrivals(arrivalRate, 11_000, 12_000, 10, 3);
        assertTrue(
                1000 * arrivalRate.provisionedRate() > 18, "the rate falls slowly after the burst");
        simulateArrivals(arrivalRate, 12_000, 30_000, 10, 4);
        assertTrue(1000 * arrivalRate.provisionedRate() < 17, "the burst no longer counts");
    }

    @Test
    public void onlyObservedTimeCountsForTheExpectedRate() {
        ArrivalRate arrivalRate = new ArrivalRate(SHORT_WINDOW_MS);
        arrivalRate.add(0, 0);
        for (int i = 1; i <= 20; i++) {
            arrivalRate.add(100 * i, 1);
        }
        assertEquals(1000 * arrivalRate.expectedRate(), 10, 1);
        assertTrue(!arrivalRate.isKnown());
        for (int i = 0; i < 200; i++) {
            arrivalRate.add(2000 + 100 * i, 0);
        }
        assertTrue(arrivalRate.isKnown());
        assertTrue(1000 * arrivalRate.expectedRate() < 1, "the expected rate falls in silence");
    }
}
