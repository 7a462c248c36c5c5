package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Profile.Effect;
import java.util.Arrays;
import org.testng.annotations.Test;

/** The score, O and what reports and hints make of them. */
public class ScoreTest {
    private static final Effect SAFE = Effect.IDEMPOTENT;

    @Test
    public void scoreOfAnUnseenRowIsTheShareOfRegionsWithinTheAllowedWait() {
        Bench b = Bench.of(SAFE).start(1);
        Task t = b.task(0, 0, 0);
        t.work = 150;
        t.due = 100 + 2 * 150;
        // Mean 150, spread sqrt(0.5): likely works 52, 93, 146, 263, allowed waits 152, 193, 246,
        // 363.
        // Waits at midpoints 0, 0, 11, 37, 71, 120, 187, 300, 487 and more: 6, 7, 7 and 8 of 14
        // regions fit.
        assertEquals(b.d.probabilityInTime(t, 0), (6 + 7 + 7 + 8) / 56.0, 1e-9);
    }

    @Test
    public void scoreFollowsThePairsCounted() {
        Bench b = Bench.of(SAFE).start(2);
        Task t = b.task(0, 0, 0);
        t.work = 150;
        t.due = 400;
        b.d.countPairs(0, 0, 0, 30);
        b.d.countPairs(1, 0, 9, 30);
        assertTrue(b.d.probabilityInTime(t, 0) > b.d.probabilityInTime(t, 1) + 0.2);
    }

    @Test
    public void laterWorkFollowsTheBusyPeriodLaw() {
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
    public void jobsOfNoRunningTimeOvertakeNobody() {
        double[] run = new double[17];
        run[0] = 1;
        double[] within = new double[17];
        BusyPeriods.fillProbabilities(4, 0.5, run, within);
        assertEquals(within[0], 1, 1e-12);
    }

    @Test
    public void onPriorityWorkersOnlyHigherPriorityCostsChance() {
        Bench b = Bench.of(SAFE, SAFE);
        b.settings.order = DispatcherSettings.Order.PRIORITY;
        b.settings.profiles[1].priority = 1;
        b.start(1);
        for (int i = 0; i < 3; i++) {
            b.arrive(1, i);
        }
        b.d.wake(500);
        Task low = b.task(0, 500, 0);
        Task high = b.task(1, 500, 0);
        low.work = 100;
        high.work = 100;
        low.due = 1000;
        high.due = 1000;
        assertTrue(b.d.probabilityInTime(low, 0) < b.d.probabilityInTime(high, 0));
    }

    @Test
    public void ownUnfinishedSendsRaiseTheWork() {
        Bench b = Bench.of(SAFE).start(1);
        double before = b.d.load(0, 0);
        b.arrive(0, 1);
        double one = b.d.load(0, 0);
        b.arrive(0, 2);
        assertEquals(before, 0.0);
        assertEquals(one, 0.5);
        assertTrue(b.d.load(0, 0) > 1);
    }

    /**
     * Found on the first day: rows never visited are flat, so a worker full of our own sends looked
     * good.
     */
    @Test
    public void regionsBelowOurOwnSendsAreLeftOut() {
        Bench b = Bench.of(SAFE).start(2);
        for (int i = 0; i < 6; i++) {
            b.arrive(0, 1);
        }
        assertEquals(b.count("send 0"), 3);
        assertEquals(b.count("send 1"), 3);
    }

    /** Found on catania-trascrizioni: a worker once heard full was believed full for 28 s. */
    @Test
    public void whatWasHeardFadesToTheMean() {
        Bench b = Bench.of(SAFE).start(4);
        b.d.reportReceived(10, 3, Bench.report(6, 0));
        double full = b.d.peerJobs(3);
        b.d.wake(60000);
        assertTrue(full > 2);
        assertTrue(b.d.peerJobs(3) < 1);
    }

    /** Found on both sites with hints: a hint far from the mean says less than it seems. */
    @Test
    public void farHintsAreDrawnToTheMean() {
        Bench b = Bench.of(SAFE).start(4);
        for (int i = 0; i < 20; i++) {
            b.d.arrived(i, b.task(0, i, 100));
        }
        Task t = b.task(0, 30, 1600);
        b.d.arrived(30, t);
        assertTrue(t.work > 150 && t.work < 1000, "work " + t.work);
    }

    @Test
    public void absurdReportsCountAsNotHeard() {
        Bench b = Bench.of(SAFE).start(2);
        double[] r = new double[Report.SIZE];
        for (double v : new double[] {-1, 1e18, Double.NaN, Double.POSITIVE_INFINITY}) {
            Arrays.fill(r, v);
            b.d.reportReceived(5, 0, r);
            b.d.reportReceived(5, 1, null);
        }
        assertEquals(b.d.slotsOf(0), 2.0);
        b.d.arrived(6, b.task(0, 6, Double.MAX_VALUE));
        b.d.arrived(6, b.task(0, 6, -3));
        assertEquals(b.count("send"), 2);
    }

    /**
     * Found on kingston-returns big-1: slow workers nobody asked were believed as full as the fast.
     */
    @Test
    public void anUnheardWorkerTakesTheMeanOfItsOwnKindAndPlace() {
        Bench b = Bench.of(SAFE).start(6);
        b.d.listBegins(2, false);
        b.d.listed(6, 0, 1, 0, Dispatcher.RUNNING, 2, 0);
        b.d.listed(7, 0, 0, 0, Dispatcher.RUNNING, 2, 0);
        b.d.listEnds(2, false, false);
        for (int i = 0; i < 400; i++) {
            b.d.reportReceived(10 + i, i % 3 * 2, Bench.report(6 + i % 2, 0));
        }
        assertTrue(b.d.peerJobs(7) > 4, "others " + b.d.peerJobs(7));
        assertEquals(b.d.peerJobs(6), 0.0);
        assertTrue(b.d.peerJobs(5) < 0.5, "others " + b.d.peerJobs(5));
    }

    /**
     * Found on sofia-topup: reports told 2 running and 3 waiting as 3 and 5, and 8 were believed.
     */
    @Test
    public void whatWaitsIsNotCountedTwiceWhereInFlightHoldsIt() {
        double[] believed = new double[2];
        for (int i = 0; i < 2; i++) {
            Bench b = Bench.of(SAFE).start(1);
            double[] r = Bench.report(3, 0);
            r[Report.IN_FLIGHT] = i == 0 ? 5 : Double.NaN;
            b.d.reportReceived(10, 0, r);
            believed[i] = b.d.peerJobs(0);
        }
        assertEquals(believed[0], believed[1]);
    }

    /** Found on all grown sites: hundreds of dispatchers flocked after the same old report. */
    @Test
    public void aReportMovesTheBeliefPartOfTheWay() {
        Bench b = Bench.of(SAFE).start(4);
        b.d.reportReceived(10, 3, Bench.report(6, 0));
        double once = b.d.peerJobs(3);
        b.d.reportReceived(11, 3, Bench.report(7, 0));
        assertTrue(once > 2 && once < 4, "once " + once);
        assertTrue(b.d.peerJobs(3) > once + 1);
    }
}
