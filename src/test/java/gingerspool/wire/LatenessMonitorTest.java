package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A line on a late loop tells the cause of that lateness alone, by modelled time and readings. */
public class LatenessMonitorTest {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The start-up takes so long here, and the first readings then so long. */
    private static final long START_UP_MS = 2_000;

    private static final long FIRST_READINGS_MS = 1_000;

    private static final long LOOP_STARTED_AT = Long.MAX_VALUE - 1_000 * NANOS_PER_MS;
    private static final double LOOP_STARTED_UNIX_MS = 1e12;
    private static final Runnable TASK = () -> {};

    private ModelReadings system;
    private RecordingLogger log;
    private LatenessMonitor monitor;
    private List<LateSpan> lateSpans;
    private long nowMs;

    @BeforeMethod
    public void begin() {
        system = new ModelReadings();
        log = new RecordingLogger();
        monitor =
                new LatenessMonitor(
                        log,
                        new LoopUsage(system, LOOP_STARTED_AT),
                        LOOP_STARTED_AT,
                        nanos ->
                                LOOP_STARTED_UNIX_MS
                                        + (double) (nanos - LOOP_STARTED_AT) / NANOS_PER_MS);
        lateSpans = new ArrayList<>();
        nowMs = 0;
    }

    private static long nanos(long ms) {
        return LOOP_STARTED_AT + ms * NANOS_PER_MS;
    }

    /** Time in which the thread does nothing, or cannot. */
    private void pass(long ms) {
        nowMs += ms;
    }

    private void runs(long ms) {
        system.ranMs += ms;
        nowMs += ms;
    }

    private void waits(long ms) {
        system.waitedMs += ms;
        nowMs += ms;
    }

    private void task(Runnable what) {
        long began = nowMs;
        what.run();
        monitor.taskEnded(TASK, nanos(began), nanos(nowMs));
    }

    private void timer(long dueMs) {
        monitor.timerFired(nanos(dueMs), nanos(nowMs));
    }

    private Map<String, Object> onlyLine(String event) {
        assertEquals(log.lines(event).size(), 1, log.lines() + "");
        return log.lines(event).get(0).fields();
    }

    private void finishStartUp() {
        pass(START_UP_MS);
        monitor.startUpEnded(nanos(nowMs));
        pass(FIRST_READINGS_MS);
        task(() -> {});
        task(() -> {});
    }

    @Test
    public void timerOnTimeIsNotLogged() {
        finishStartUp();
        timer(nowMs - 50);
        assertEquals(log.lines(), List.of());
    }

    @Test
    public void stoppedLoopIsReportedBlocked() {
        finishStartUp();
        pass(300);
        timer(nowMs - 200);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("ms"), 200L);
        assertEquals(line.get("within_ms"), 300L);
        assertEquals(line.get("ran_ms"), 0L);
        assertEquals(line.get("waited_ms"), 0L);
        assertEquals(line.get("blocked_ms"), 200L);
    }

    @Test
    public void processorWaitIsNotReportedBlocked() {
        finishStartUp();
        pass(10);
        waits(180);
        runs(20);
        timer(nowMs - 200);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("waited_ms"), 180L);
        assertEquals(line.get("ran_ms"), 20L);
        assertEquals(line.get("blocked_ms"), 0L);
    }

    /** What the thread did more than one reading before the late span is not in the line. */
    @Test
    public void earlierSlowTasksAreExcluded() {
        finishStartUp();
        task(() -> waits(49));
        task(() -> waits(49));
        task(() -> waits(49));
        task(() -> runs(2));
        pass(5_000);
        runs(70);
        timer(nowMs - 70);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("waited_ms"), 0L);
        assertTrue((Long) line.get("ran_ms") <= 72, line + "");
        assertEquals(line.get("blocked_ms"), 0L);
    }

    /** The same without a line on the wait: it is the readings that divide, not the lines. */
    @Test
    public void earlierUnloggedWaitIsExcluded() {
        finishStartUp();
        waits(1_500);
        task(() -> runs(1));
        pass(100);
        timer(nowMs - 60);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("waited_ms"), 0L);
        assertEquals(line.get("within_ms"), 100L);
        assertEquals(line.get("blocked_ms"), 60L);
    }

    /** Tasks that end in the late span, with readings, do not shorten what the line covers. */
    @Test
    public void readingsWithinSpanDoNotShortenIt() {
        finishStartUp();
        pass(100);
        task(() -> runs(1));
        long due = nowMs;
        for (int i = 0; i < 20; i++) {
            task(() -> runs(40));
        }
        pass(200);
        timer(due);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("ms"), 1_000L);
        assertEquals(line.get("within_ms"), 1_000L);
        assertEquals(line.get("ran_ms"), 800L);
        assertEquals(line.get("blocked_ms"), 200L);
    }

    /** Of a span longer than all readings that are kept no more is said than they cover. */
    @Test
    public void blockedTimeIsLimitedToCoveredTime() {
        finishStartUp();
        long due = nowMs;
        for (int i = 0; i < 400; i++) {
            task(() -> runs(50));
        }
        timer(due);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("ms"), 20_000L);
        assertTrue((Long) line.get("within_ms") < 20_000, line + "");
        assertEquals(line.get("ran_ms"), line.get("within_ms"));
        assertEquals(line.get("blocked_ms"), 0L);
    }

    @Test
    public void lineReportsDiskAndMachine() {
        system.majorFaults = 7;
        system.diskMs = 1_000;
        finishStartUp();
        system.majorFaults += 3;
        system.diskMs += 250;
        pass(300);
        timer(nowMs - 300);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("around_ms"), 300L);
        assertEquals(line.get("major_faults"), 3L);
        assertEquals(line.get("disk_pressure_ms"), 250L);
        assertEquals(line.get("steal_ms"), 0L);
        assertFalse(line.containsKey("memory_pressure_ms"), line + "");
        assertFalse(line.containsKey("disk_wait_ms"), line + "");
    }

    @Test
    public void lateTimersAreLoggedOncePerSecond() {
        finishStartUp();
        pass(100);
        timer(nowMs - 100);
        timer(nowMs - 90);
        pass(1_000);
        timer(nowMs - 60);
        assertEquals(log.lines("loop.timer_late").size(), 1);
        pass(1);
        timer(nowMs - 60);
        assertEquals(log.lines("loop.timer_late").size(), 2);
        assertEquals(monitor.takeMaxTimerLatenessMs(), 100.0);
        assertEquals(monitor.takeMaxTimerLatenessMs(), 0.0);
    }

    @Test
    public void slowTaskIsLoggedWithTimeSplit() {
        finishStartUp();
        task(() -> runs(50));
        assertEquals(log.lines(), List.of());
        task(
                () -> {
                    runs(10);
                    waits(20);
                    pass(30);
                });
        Map<String, Object> line = onlyLine("loop.task_slow");
        assertEquals(line.get("ms"), 60L);
        assertEquals(line.get("within_ms"), 60L);
        assertEquals(line.get("ran_ms"), 10L);
        assertEquals(line.get("waited_ms"), 20L);
        assertEquals(line.get("blocked_ms"), 30L);
        assertEquals(line.get("task"), "LatenessMonitorTest");
        task(() -> pass(500));
        assertEquals(log.lines("loop.task_slow").size(), 1);
        task(() -> pass(501));
        assertEquals(log.lines("loop.task_slow").size(), 2);
    }

    /** A named class stands for itself. */
    @Test
    public void taskOfNamedClassIsLoggedByName() {
        class Sweep implements Runnable {
            @Override
            public void run() {}
        }

        monitor.taskEnded(new Sweep(), nanos(0), nanos(51));
        assertEquals(onlyLine("loop.task_slow").get("task"), "LatenessMonitorTest$1Sweep");
    }

    /** Tasks of one millisecond, so many in each ten. */
    private void work(long ms, int tasks) {
        for (long i = 0; i < ms; i++) {
            if (i % 10 < tasks) {
                task(() -> runs(1));
            } else {
                pass(1);
            }
        }
    }

    /** Readings cost system calls: none while a process starts, and few later. */
    @Test
    public void readingsAreRare() {
        work(9_999, 10);
        assertEquals(system.useReadings + system.stallReadings + system.machineReadings, 0);
        work(1, 10);
        assertEquals(system.useReadings, 1);
        work(2_000, 1);
        assertEquals(system.useReadings, 20);
        assertEquals(system.stallReadings, 2);
        assertEquals(system.machineReadings, 2);
    }

    /** A loop that works all the time is read more often: what each task did is to be told. */
    @Test
    public void busyLoopIsReadMoreOften() {
        monitor.startUpEnded(nanos(nowMs));
        work(2_000, 10);
        assertEquals(system.useReadings, 100);
        assertEquals(system.stallReadings, 1);
        assertEquals(system.machineReadings, 1);
    }

    /** The program says when it has started; the dearer readings begin a second after that. */
    @Test
    public void readingsBeginAtEndOfStartUp() {
        work(500, 10);
        monitor.startUpEnded(nanos(nowMs));
        work(1, 10);
        assertEquals(system.useReadings, 1);
        work(999, 1);
        assertEquals(system.stallReadings + system.machineReadings, 0);
        work(20, 1);
        assertEquals(system.useReadings, 11);
        assertEquals(system.stallReadings, 1);
        assertEquals(system.machineReadings, 1);
    }

    /** Who listens wants the late time alone from the first task on. */
    @Test
    public void readingsBeginWithListener() {
        monitor.setListener(lateSpans::add);
        pass(300);
        task(() -> runs(1));
        assertEquals(system.useReadings, 1);
        pass(100);
        timer(nowMs - 60);
        assertEquals(onlyLine("loop.timer_late").get("within_ms"), 100L);
    }

    /** A system that tells nothing is not asked more often than another. */
    @Test
    public void systemWithoutReadingsIsNotPolledMoreOften() {
        system.isSilent = true;
        monitor.startUpEnded(nanos(nowMs));
        work(2_000, 1);
        assertEquals(system.useReadings, 19);
        assertEquals(system.machineReadings, 1);
    }

    /** A line of the start-up counts from the thread's beginning, and leaves the machine out. */
    @Test
    public void startUpLineCountsFromThreadStart() {
        system.majorFaults = 4;
        runs(400);
        waits(200);
        timer(nowMs - 100);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("within_ms"), 600L);
        assertEquals(line.get("ran_ms"), 400L);
        assertEquals(line.get("waited_ms"), 200L);
        assertEquals(line.get("major_faults"), 4L);
        assertFalse(line.containsKey("steal_ms"), line + "");
        assertEquals(system.machineReadings, 0);
    }

    @Test
    public void systemWithoutReadingsGivesLatenessOnly() {
        system.isSilent = true;
        monitor.setListener(lateSpans::add);
        finishStartUp();
        pass(300);
        timer(nowMs - 200);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.keySet(), Set.of("ms", "around_ms"));
        assertEquals(lateSpans.size(), 1);
        assertEquals(lateSpans.get(0).untilMs() - lateSpans.get(0).fromMs(), 200.0);
        assertTrue(Double.isNaN(lateSpans.get(0).ranMs()), lateSpans + "");
        assertTrue(Double.isNaN(lateSpans.get(0).waitedMs()), lateSpans + "");
        assertTrue(Double.isNaN(lateSpans.get(0).blockedMs()), lateSpans + "");
    }

    @Test
    public void listenerReceivesEachLateSpan() {
        monitor.setListener(lateSpans::add);
        finishStartUp();
        long due = nowMs;
        waits(30);
        pass(70);
        timer(due);
        pass(60);
        timer(nowMs - 60);
        assertEquals(
                lateSpans,
                List.of(
                        new LateSpan(
                                LOOP_STARTED_UNIX_MS + due,
                                LOOP_STARTED_UNIX_MS + due + 100,
                                0,
                                30,
                                70),
                        new LateSpan(
                                LOOP_STARTED_UNIX_MS + due + 100,
                                LOOP_STARTED_UNIX_MS + due + 160,
                                0,
                                0,
                                60)));
        assertEquals(log.lines("loop.timer_late").size(), 1);
    }

    /** Many timers that one stall makes late are one span; what goes on after it is told too. */
    @Test
    public void spansDoNotOverlap() {
        monitor.setListener(lateSpans::add);
        finishStartUp();
        long due = nowMs;
        pass(100);
        timer(due);
        runs(10);
        timer(due + 1);
        timer(due + 2);
        runs(45);
        timer(due + 50);
        assertEquals(lateSpans.size(), 2, lateSpans + "");
        assertEquals(lateSpans.get(0).untilMs(), LOOP_STARTED_UNIX_MS + due + 100);
        assertEquals(
                lateSpans.get(1),
                new LateSpan(
                        LOOP_STARTED_UNIX_MS + due + 100, LOOP_STARTED_UNIX_MS + nowMs, 55, 0, 0));
    }

    /** A listener that takes long does not change what the line tells of the span before it. */
    @Test
    public void listenerWorkIsExcludedFromLine() {
        monitor.setListener(span -> runs(400));
        finishStartUp();
        pass(100);
        timer(nowMs - 100);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("ran_ms"), 0L);
        assertEquals(line.get("blocked_ms"), 100L);
    }

    @Test
    public void failingListenerDoesNotEndTask() {
        monitor.setListener(
                span -> {
                    throw new IllegalStateException("of the test");
                });
        finishStartUp();
        pass(100);
        timer(nowMs - 100);
        assertEquals(log.lines("loop.task_failed").size(), 1);
        assertEquals(log.lines("loop.timer_late").size(), 1);
    }

    @Test
    public void closeClosesReadings() {
        monitor.close();
        assertTrue(system.isClosed);
    }
}
