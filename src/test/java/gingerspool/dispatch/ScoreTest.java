package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import java.util.Arrays;
import org.testng.annotations.Test;

/**
 * Tests the {@link Score}, the estimated load of workers, and the effect of reports and hints on
 * both.
 */
public class ScoreTest {
    private static final Effect IDEMPOTENT = Effect.IDEMPOTENT;

    @Test
    public void scoreWithoutPairsIsShareOfRegionsWithinSlack() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(1);
        Task t = harness.task(0, 0, 0);
        t.work = 150;
        t.due = 100 + 2 * 150;
        // Mean 150, standard deviation sqrt(0.5) of the logarithm: the sampled works 52, 93, 146
        // and 263 leave a slack of 152, 193, 246 and 363. Waits at the midpoints of regions are 0,
        // 0, 11, 37, 71, 120, 187, 300, 487 and more: 6, 7, 7 and 8 of the 14 regions fit.
        assertEquals(harness.dispatcher.probabilityInTime(t, 0), (6 + 7 + 7 + 8) / 56.0, 1e-9);
    }

    @Test
    public void scoreFollowsCountedPairs() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(2);
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
        double[] runProbabilities = new double[17];
        runProbabilities[1] = 1;
        double[] cumulative = new double[17];
        double arrivalRate = 0.3;
        BusyPeriods.fillProbabilities(1, arrivalRate, runProbabilities, cumulative);
        // Unit jobs behind one unit of work follow Borel's distribution: P(0) = e^-a,
        // P(1) = a e^-2a, P(2) = 3/2 a^2 e^-3a, with the arrival rate a.
        assertEquals(cumulative[0], Math.exp(-arrivalRate), 1e-12);
        assertEquals(
                cumulative[1] - cumulative[0], arrivalRate * Math.exp(-2 * arrivalRate), 1e-12);
        assertEquals(
                cumulative[2] - cumulative[1],
                1.5 * arrivalRate * arrivalRate * Math.exp(-3 * arrivalRate),
                1e-12);
    }

    @Test
    public void jobsWithoutRunningTimeAddNoDelay() {
        double[] runProbabilities = new double[17];
        runProbabilities[0] = 1;
        double[] cumulative = new double[17];
        BusyPeriods.fillProbabilities(4, 0.5, runProbabilities, cumulative);
        assertEquals(cumulative[0], 1, 1e-12);
    }

    @Test
    public void onlyHigherPriorityArrivalsLowerScore() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT, IDEMPOTENT);
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
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(1);
        double before = harness.dispatcher.load(0, 0);
        harness.arrive(0, 1);
        double afterOne = harness.dispatcher.load(0, 0);
        harness.arrive(0, 2);
        assertEquals(before, 0.0);
        assertEquals(afterOne, 0.5);
        assertTrue(harness.dispatcher.load(0, 0) > 1);
    }

    /**
     * Guards against a high score of a worker full of our own sends: pairs that were never counted
     * have equal weights.
     */
    @Test
    public void scoreOmitsRegionsBelowOwnSends() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(2);
        for (int i = 0; i < 6; i++) {
            harness.arrive(0, 1);
        }
        assertEquals(harness.countActions("send 0"), 3);
        assertEquals(harness.countActions("send 1"), 3);
    }

    /** Guards against assuming that a worker is full long after its report: 28 s in one case. */
    @Test
    public void reportedLoadDecaysToMean() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        harness.dispatcher.reportReceived(10, 3, DispatcherHarness.report(6, 0));
        double full = harness.dispatcher.peerJobs(3);
        harness.dispatcher.wake(60000);
        assertTrue(full > 2);
        assertTrue(harness.dispatcher.peerJobs(3) < 1);
    }

    /** A hint far from the mean says less about the running time than it seems to. */
    @Test
    public void outlyingHintsAreShrunkTowardMean() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        for (int i = 0; i < 20; i++) {
            harness.dispatcher.arrived(i, harness.task(0, i, 100));
        }
        Task t = harness.task(0, 30, 1600);
        harness.dispatcher.arrived(30, t);
        assertTrue(t.work > 150 && t.work < 1000, "work " + t.work);
    }

    @Test
    public void implausibleReportsAreIgnored() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(2);
        double[] report = new double[Report.SIZE];
        for (double value : new double[] {-1, 1e18, Double.NaN, Double.POSITIVE_INFINITY}) {
            Arrays.fill(report, value);
            harness.dispatcher.reportReceived(5, 0, report);
            harness.dispatcher.reportReceived(5, 1, null);
        }
        assertEquals(harness.dispatcher.slotsOf(0), 2.0);
        harness.dispatcher.arrived(6, harness.task(0, 6, Double.MAX_VALUE));
        harness.dispatcher.arrived(6, harness.task(0, 6, -3));
        assertEquals(harness.countActions("send"), 2);
    }

    /**
     * Guards against assuming that slow workers, which nobody probed, are as full as the fast ones.
     */
    @Test
    public void unreportedWorkerTakesMeanOfItsKindAndZone() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(6);
        harness.dispatcher.listBegins(2, false);
        harness.dispatcher.listed(6, 0, 1, 0, Dispatcher.RUNNING, 2, 0);
        harness.dispatcher.listed(7, 0, 0, 0, Dispatcher.RUNNING, 2, 0);
        harness.dispatcher.listEnds(2, false, false);
        for (int i = 0; i < 400; i++) {
            harness.dispatcher.reportReceived(
                    10 + i, i % 3 * 2, DispatcherHarness.report(6 + i % 2, 0));
        }
        assertTrue(
                harness.dispatcher.peerJobs(7) > 4, "peer jobs: " + harness.dispatcher.peerJobs(7));
        assertEquals(harness.dispatcher.peerJobs(6), 0.0);
        assertTrue(
                harness.dispatcher.peerJobs(5) < 0.5,
                "peer jobs: " + harness.dispatcher.peerJobs(5));
    }

    /**
     * Guards against counting queued jobs twice: reports gave 2 running and 3 queued jobs as 3
     * queued and 5 in flight, and 8 were assumed.
     */
    @Test
    public void queueIsNotAddedToInFlightCount() {
        double[] estimates = new double[2];
        for (int i = 0; i < 2; i++) {
            DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(1);
            double[] report = DispatcherHarness.report(3, 0);
            report[Report.IN_FLIGHT] = i == 0 ? 5 : Double.NaN;
            harness.dispatcher.reportReceived(10, 0, report);
            estimates[i] = harness.dispatcher.peerJobs(0);
        }
        assertEquals(estimates[0], estimates[1]);
    }

    /**
     * Guards against hundreds of dispatchers that all send to a worker because of the same old
     * report.
     */
    @Test
    public void reportMovesEstimatePartially() {
        DispatcherHarness harness = DispatcherHarness.of(IDEMPOTENT).start(4);
        harness.dispatcher.reportReceived(10, 3, DispatcherHarness.report(6, 0));
        double afterOne = harness.dispatcher.peerJobs(3);
        harness.dispatcher.reportReceived(11, 3, DispatcherHarness.report(7, 0));
        assertTrue(afterOne > 2 && afterOne < 4, "after one report: " + afterOne);
        assertTrue(harness.dispatcher.peerJobs(3) > afterOne + 1);
    }
}
