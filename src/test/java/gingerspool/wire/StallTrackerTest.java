package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * A process that stood still reads what came meanwhile after that, and must not take it for new.
 */
public class StallTrackerTest {
    private static final double TIMER_INTERVAL_MS = 50;

    /** No event had been noticed for long before. */
    private static final double LONG_AGO = -1000;

    private final StallTracker stalls = new StallTracker();

    /** No event had been noticed for long before this time. */
    private static QuietSpan quietUntil(double time) {
        return new QuietSpan(LONG_AGO, time);
    }

    /** Timers fire on time, the last one at `until`. */
    private static StallTracker onTime(StallTracker stalls, double from, double until) {
        for (double at = from; at <= until; at += TIMER_INTERVAL_MS) {
            stalls.timerFired(at, at, quietUntil(at));
        }
        return stalls;
    }

    @Test
    public void unstalledEventArrivedWhenNoticed() {
        onTime(stalls, 0, 1000);
        assertEquals(stalls.earliest(1010, LONG_AGO), 1010.0);
    }

    @Test
    public void eventNoticedRightAfterStallMayDateFromItsStart() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        seen.timerFired(1050, 1800, quietUntil(1800));
        assertEquals(seen.earliest(1801, LONG_AGO), 1000.0);
        assertEquals(
                seen.earliest(1790, LONG_AGO), 1000.0, "noticed before the loop itself went on");
    }

    @Test
    public void eventNoticedAfterCatchUpArrivedWhenNoticed() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        seen.timerFired(1050, 1800, quietUntil(1800));
        assertEquals(seen.earliest(1900, LONG_AGO), 1900.0);
    }

    /** Only the loop was held up: the thread that reads was not. */
    @Test
    public void eventNoticedDuringLoopDelayArrivedWhenNoticed() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        seen.timerFired(1050, 1800, quietUntil(1800));
        assertEquals(seen.earliest(1400, LONG_AGO), 1400.0);
    }

    @Test
    public void consecutiveStallsCountAsOneUntilCaughtUp() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        seen.timerFired(1050, 1800, quietUntil(1800));
        seen.timerFired(1850, 2600, quietUntil(2600));
        assertEquals(seen.earliest(2601, LONG_AGO), 1000.0);
    }

    @Test
    public void stallAfterCatchUpIsSeparate() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        seen.timerFired(1050, 1800, quietUntil(1800));
        onTime(seen, 1850, 2000);
        seen.timerFired(2050, 2600, quietUntil(2600));
        assertEquals(seen.earliest(2601, LONG_AGO), 2000.0);
    }

    /** Without a timer before it the stall began no earlier than the one that was late shows. */
    @Test
    public void stallStartIsBoundedByLateTimer() {
        StallTracker seen = new StallTracker();
        seen.timerFired(0, 0, quietUntil(0));
        seen.timerFired(5000, 5700, quietUntil(5700));
        assertEquals(seen.earliest(5701, LONG_AGO), 5000.0 - StallTracker.LATE_THRESHOLD_MS);
    }

    /** The sockets were looked at in between: what that did not show came later. */
    @Test
    public void eventMissedByEarlierPollArrivedAfterIt() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        seen.timerFired(1050, 1800, quietUntil(1800));
        seen.timerFired(1850, 2600, quietUntil(2600));
        assertEquals(seen.earliest(2601, 1805), 1805.0);
    }

    /** Timers that came due in a stall wait until what came meanwhile has been looked at. */
    @Test
    public void timersWaitAfterProcessStall() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        assertEquals(seen.timerFired(1050, 1800, quietUntil(1800)), StallTracker.TIMER_HOLD_MS);
        assertEquals(seen.timerFired(1400, 1801, quietUntil(1801)), StallTracker.TIMER_HOLD_MS - 1);
        assertEquals(seen.timerFired(1805, 1805, quietUntil(1805)), StallTracker.TIMER_HOLD_MS - 5);
        assertEquals(seen.timerFired(1850, 1850, quietUntil(1850)), 0.0);
    }

    /** What came meanwhile was noticed meanwhile, and stands before the timers or behind them. */
    @Test
    public void timersDoNotWaitWhenOnlyTheLoopWasDelayed() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        assertEquals(seen.timerFired(1050, 1800, null), 0.0);
    }

    @Test
    public void timersOnTimeDoNotWait() {
        assertEquals(
                stalls.timerFired(
                        1000,
                        1000 + StallTracker.LATE_THRESHOLD_MS,
                        quietUntil(1000 + StallTracker.LATE_THRESHOLD_MS)),
                0.0);
    }

    /**
     * Guards clients of a process that leaves: SIGTERM was put at the begin of all stalls in a row,
     * 3.7 s before it came, so that the time to leave was over at once and the listener closed.
     */
    @Test
    public void signalArrivedInLastOfConsecutiveStalls() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        seen.timerFired(1050, 1800, quietUntil(1800));
        seen.timerFired(1840, 1840, quietUntil(1840));
        seen.timerFired(1890, 2600, quietUntil(2600));
        assertEquals(seen.earliest(2601), 1840.0);
        assertEquals(seen.earliest(2601, LONG_AGO), 1000.0);
        assertEquals(seen.earliest(3000), 3000.0);
    }

    /**
     * A loop that is late again and again under load reads all the time: SIGTERM or a request that
     * is noticed then has not come when the load began.
     */
    @Test
    public void repeatedlyLateTimersAreNotOneStall() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        double at = 1000;
        for (int i = 0; i < 100; i++) {
            at += 60;
            seen.timerFired(at - 55, at, new QuietSpan(at - 61, at - 1));
        }
        assertEquals(seen.earliest(at, LONG_AGO), at, 200.0);
    }

    /** After a stop the thread that reads may get a processor long before the loop does. */
    @Test
    public void timersWaitWhenLoopResumesAfterReader() {
        StallTracker seen = onTime(new StallTracker(), 0, 1000);
        double readerGoesOn = 1740;
        assertTrue(
                seen.timerFired(1050, readerGoesOn + 60, quietUntil(readerGoesOn)) > 0,
                "what came from 1000 to 1740 stands behind this timer");
    }
}
