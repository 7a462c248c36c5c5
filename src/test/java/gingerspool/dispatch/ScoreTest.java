package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import java.util.Arrays;
import org.testng.annotations.Test;

/** The score, O and what reports and hints make of them. */
public class ScoreTest {
    private static final Effect IDEMPOTENT = Effect.IDEMPOTENT;

    @Test
    public void scoreWithoutPairsIsShareOfRegionsWithinSlack() {
        Bench harness = Bench.of(IDEMPOTENT).start(1);
        Task t = harness.task(0, 0, 0);
        t.work = 150;
        t.due = 100 + 2 * 150;
        // Mean 150, spread sqrt(0.5): likely works 52, 93, 146, 263, allowed waits 152, 193, 246,
        // 363.
        // Waits at midpoints 0, 0, 11, 37, 71, 120, 187, 300, 487 and more: 6, 7, 7 and 8 of 14
        // regions fit.
        assertEquals(harness.dispatcher.probabilityInTime(t, 0), (6 + 7 + 7 + 8) / 56.0, 1e-9);
    }

    @Test
    public void scoreFollowsCountedPairs() {
        Bench harness = Bench.of(IDEMPOTENT).start(2);
        Task t = harness.task(0, 0, 0);
        t.work = 150;
        t.due = 400;
        harness.dispatcher.countPairs(0, 0, 0, 30);
        harness.dispatcher.countPairs(1, 0, 9, 30);
        assertTrue(
                harness.dispatcher.probabilityInTime(t, 0)
                        > harness.dispatcher.probabilityInTime(t, 1) + 0.2);
    }

    @Test
    public void busyPeriodsFollowBorelDistribution() {
        double[] run = new double[17];
        run[1] = 1;
        double[] within = new double[17];
        double lambda = 0.3;
        BusyPeriods.fillProbabilities(1, lambda, run, within);
        // Unit jobs behind one unit of work: Borel's law, P(0) = e^-a, P(1) = a e^-2a, P(2) = 3/2
        // a^2 e^-3a.
        assertEquals(within[0], Math.exp(-lambda), 1e-12);
        assertEquals(within[1] - within[0], lambda * Math.exp(-2 * lambda), 1e-12);
        assertEquals(within[2] - within[1], 1.5 * lambda * lambda * Math.exp(-3 * lambda), 1e-12);
    }

    @Test
    public void jobsWithoutRunningTimeAddNoDelay() {
        double[] run = new double[17];
        run[0] = 1;
        double[] within = new double[17];
        BusyPeriods.fillProbabilities(4, 0.5, run, within);
        assertEquals(within[0], 1, 1e-12);
    }

    @Test
    public void onlyHigherPriorityArrivalsLowerScore() {
        Bench harness = Bench.of(IDEMPOTENT, IDEMPOTENT);
        harness.settings.order = DispatcherSettings.Order.PRIORITY;
        harness.settings.profiles[1].priority = 1;
        harness.start(1);
        for (int i = 0; i < 3; i++) {
            harness.arrive(1, i);
        }
        harness.dispatcher.wake(500);
        Task low = harness.task(0, 500, 0);
        Task high = harness.task(1, 500, 0);
        low.work = 100;
        high.work = 100;
        low.due = 1000;
        high.due = 1000;
        assertTrue(
                harness.dispatcher.probabilityInTime(low, 0)
                        < harness.dispatcher.probabilityInTime(high, 0));
    }

    @Test
    public void ownUnfinishedSendsRaiseLoad() {
        Bench harness = Bench.of(IDEMPOTENT).start(1);
        double before = harness.dispatcher.load(0, 0);
        harness.arrive(0, 1);
        double one = harness.dispatcher.load(0, 0);
        harness.arrive(0, 2);
        assertEquals(before, 0.0);
        assertEquals(one, 0.5);
        assertTrue(harness.dispatcher.load(0, 0) > 1);
    }

    /**
     * Found on the first day: rows never visited are flat, so a worker full of our own sends looked
     * good.
     */
    @Test
    public void scoreOmitsRegionsBelowOwnSends() {
        Bench harness = Bench.of(IDEMPOTENT).start(2);
        for (int i = 0; i < 6; i++) {
            harness.arrive(0, 1);
        }
        assertEquals(harness.countActions("send 0"), 3);
        assertEquals(harness.countActions("send 1"), 3);
    }

    /** Found on catania-trascrizioni: a worker once heard full was believed full for 28 s. */
    @Test
    public void reportedLoadDecaysToMean() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        harness.dispatcher.reportReceived(10, 3, Bench.report(6, 0));
        double full = harness.dispatcher.peerJobs(3);
        harness.dispatcher.wake(60000);
        assertTrue(full > 2);
        assertTrue(harness.dispatcher.peerJobs(3) < 1);
    }

    /** Found on both sites with hints: a hint far from the mean says less than it seems. */
    @Test
    public void outlyingHintsAreShrunkTowardMean() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        for (int i = 0; i < 20; i++) {
            harness.dispatcher.arrived(i, harness.task(0, i, 100));
        }
        Task t = harness.task(0, 30, 1600);
        harness.dispatcher.arrived(30, t);
        assertTrue(t.work > 150 && t.work < 1000, "work " + t.work);
    }

    @Test
    public void implausibleReportsAreIgnored() {
        Bench harness = Bench.of(IDEMPOTENT).start(2);
        double[] r = new double[Report.SIZE];
        for (double v : new double[] {-1, 1e18, Double.NaN, Double.POSITIVE_INFINITY}) {
            Arrays.fill(r, v);
            harness.dispatcher.reportReceived(5, 0, r);
            harness.dispatcher.reportReceived(5, 1, null);
        }
        assertEquals(harness.dispatcher.slotsOf(0), 2.0);
        harness.dispatcher.arrived(6, harness.task(0, 6, Double.MAX_VALUE));
        harness.dispatcher.arrived(6, harness.task(0, 6, -3));
        assertEquals(harness.countActions("send"), 2);
    }

    /**
     * Found on kingston-returns big-1: slow workers nobody asked were believed as full as the fast.
     */
    @Test
    public void unreportedWorkerTakesMeanOfItsKindAndZone() {
        Bench harness = Bench.of(IDEMPOTENT).start(6);
        harness.dispatcher.listBegins(2, false);
        harness.dispatcher.listed(6, 0, 1, 0, Dispatcher.RUNNING, 2, 0);
        harness.dispatcher.listed(7, 0, 0, 0, Dispatcher.RUNNING, 2, 0);
        harness.dispatcher.listEnds(2, false, false);
        for (int i = 0; i < 400; i++) {
            harness.dispatcher.reportReceived(10 + i, i % 3 * 2, Bench.report(6 + i % 2, 0));
        }
        assertTrue(harness.dispatcher.peerJobs(7) > 4, "others " + harness.dispatcher.peerJobs(7));
        assertEquals(harness.dispatcher.peerJobs(6), 0.0);
        assertTrue(
                harness.dispatcher.peerJobs(5) < 0.5, "others " + harness.dispatcher.peerJobs(5));
    }

    /**
     * Found on sofia-topup: reports told 2 running and 3 waiting as 3 and 5, and 8 were believed.
     */
    @Test
    public void queueIsNotAddedToInFlightCount() {
        double[] believed = new double[2];
        for (int i = 0; i < 2; i++) {
            Bench harness = Bench.of(IDEMPOTENT).start(1);
            double[] r = Bench.report(3, 0);
            r[Report.IN_FLIGHT] = i == 0 ? 5 : Double.NaN;
            harness.dispatcher.reportReceived(10, 0, r);
            believed[i] = harness.dispatcher.peerJobs(0);
        }
        assertEquals(believed[0], believed[1]);
    }

    /** Found on all grown sites: hundreds of dispatchers flocked after the same old report. */
    @Test
    public void reportMovesEstimatePartially() {
        Bench harness = Bench.of(IDEMPOTENT).start(4);
        harness.dispatcher.reportReceived(10, 3, Bench.report(6, 0));
        double once = harness.dispatcher.peerJobs(3);
        harness.dispatcher.reportReceived(11, 3, Bench.report(7, 0));
        assertTrue(once > 2 && once < 4, "once " + once);
        assertTrue(harness.dispatcher.peerJobs(3) > once + 1);
    }
}
