package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/**
 * After a stall of the process, events that arrived during it are noticed late and must not be
 * dated from when they were noticed.
 */
public class StallTrackerTest {
    private static final double TIMER_INTERVAL_MS = 50;

    /** The time of the last event, long before a stall. */
    private static final double LONG_AGO = -1000;

    private final StallTracker stalls = new StallTracker();

    /** A long period without an event that ends at this time. */
    private static QuietSpan quietUntil(double time) {
        return new QuietSpan(LONG_AGO, time);
    }

    /** Fires timers on time, the last one at {@code until}. */
    private static StallTracker fireOnTime(StallTracker stalls, double from, double until) {
        for (double at = from; at <= until; at += TIMER_INTERVAL_MS) {
            stalls.timerFired(at, at, quietUntil(at));
        }
        return stalls;
    }

    @Test
    public void unstalledEventArrivedWhenNoticed() {
        fireOnTime(stalls, 0, 1000);
        assertEquals(stalls.earliestArrival(1010, LONG_AGO), 1010.0);
    }

    @Test
    public void eventNoticedRightAfterStallMayDateFromItsStart() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        tracker.timerFired(1050, 1800, quietUntil(1800));
        assertEquals(tracker.earliestArrival(1801, LONG_AGO), 1000.0);
        assertEquals(
                tracker.earliestArrival(1790, LONG_AGO),
                1000.0,
                "noticed before the loop itself resumed");
    }

    @Test
    public void eventNoticedAfterCatchUpArrivedWhenNoticed() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        tracker.timerFired(1050, 1800, quietUntil(1800));
        assertEquals(tracker.earliestArrival(1900, LONG_AGO), 1900.0);
    }

    /** Only the loop was delayed; the runtime's poller thread was not. */
    @Test
    public void eventNoticedDuringLoopDelayArrivedWhenNoticed() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        tracker.timerFired(1050, 1800, quietUntil(1800));
        assertEquals(tracker.earliestArrival(1400, LONG_AGO), 1400.0);
    }

    @Test
    public void consecutiveStallsCountAsOneUntilCaughtUp() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        tracker.timerFired(1050, 1800, quietUntil(1800));
        tracker.timerFired(1850, 2600, quietUntil(2600));
        assertEquals(tracker.earliestArrival(2601, LONG_AGO), 1000.0);
    }

    @Test
    public void stallAfterCatchUpIsSeparate() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        tracker.timerFired(1050, 1800, quietUntil(1800));
        fireOnTime(tracker, 1850, 2000);
        tracker.timerFired(2050, 2600, quietUntil(2600));
        assertEquals(tracker.earliestArrival(2601, LONG_AGO), 2000.0);
    }

    /** Without a recent earlier timer, the late timer alone bounds the start of the stall. */
    @Test
    public void stallStartIsBoundedByLateTimer() {
        StallTracker tracker = new StallTracker();
        tracker.timerFired(0, 0, quietUntil(0));
        tracker.timerFired(5000, 5700, quietUntil(5700));
        assertEquals(
                tracker.earliestArrival(5701, LONG_AGO), 5000.0 - StallTracker.LATE_THRESHOLD_MS);
    }

    /** The sockets were polled in between: an event that the poll did not return arrived later. */
    @Test
    public void eventMissedByEarlierPollArrivedAfterIt() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        tracker.timerFired(1050, 1800, quietUntil(1800));
        tracker.timerFired(1850, 2600, quietUntil(2600));
        assertEquals(tracker.earliestArrival(2601, 1805), 1805.0);
    }

    /** Timers that came due in a stall wait until events from the stall have been handled. */
    @Test
    public void timersWaitAfterProcessStall() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        assertEquals(tracker.timerFired(1050, 1800, quietUntil(1800)), StallTracker.TIMER_HOLD_MS);
        assertEquals(
                tracker.timerFired(1400, 1801, quietUntil(1801)), StallTracker.TIMER_HOLD_MS - 1);
        assertEquals(
                tracker.timerFired(1805, 1805, quietUntil(1805)), StallTracker.TIMER_HOLD_MS - 5);
        assertEquals(tracker.timerFired(1850, 1850, quietUntil(1850)), 0.0);
    }

    /** Events were noticed meanwhile, so they are queued in their order relative to the timers. */
    @Test
    public void timersDoNotWaitWhenOnlyTheLoopWasDelayed() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        assertEquals(tracker.timerFired(1050, 1800, null), 0.0);
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
     * Guards against a shutdown that ends too early for clients: SIGTERM was dated to the start of
     * several consecutive stalls, 3.7 s before it arrived, so that the grace period was over at
     * once and the listener closed.
     */
    @Test
    public void signalArrivedInLastOfConsecutiveStalls() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        tracker.timerFired(1050, 1800, quietUntil(1800));
        tracker.timerFired(1840, 1840, quietUntil(1840));
        tracker.timerFired(1890, 2600, quietUntil(2600));
        assertEquals(tracker.earliestArrival(2601), 1840.0);
        assertEquals(tracker.earliestArrival(2601, LONG_AGO), 1000.0);
        assertEquals(tracker.earliestArrival(3000), 3000.0);
    }

    /**
     * A loop that is repeatedly late under load still polls the sockets all the time: SIGTERM or a
     * request noticed then must not be dated to the start of the load.
     */
    @Test
    public void repeatedlyLateTimersAreNotOneStall() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        double at = 1000;
        for (int i = 0; i < 100; i++) {
            at += 60;
            tracker.timerFired(at - 55, at, new QuietSpan(at - 61, at - 1));
        }
        assertEquals(tracker.earliestArrival(at, LONG_AGO), at, 200.0);
    }

    /** After a stall the poller thread may get a processor long before the loop does. */
    @Test
    public void timersWaitWhenLoopResumesAfterReader() {
        StallTracker tracker = fireOnTime(new StallTracker(), 0, 1000);
        double pollerResumesAt = 1740;
        assertTrue(
                tracker.timerFired(1050, pollerResumesAt + 60, quietUntil(pollerResumesAt)) > 0,
                "events that arrived from 1000 to 1740 are queued behind this timer");
    }
}
