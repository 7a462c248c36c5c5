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

/**
 * A log line on a late loop covers the cause of that lateness only. Time and readings are
 * simulated.
 */
public class LatenessMonitorTest {
    private static final long NANOS_PER_MS = 1_000_000;

    /** The duration of the simulated start-up, and the time from then to the first readings. */
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

    /** Lets time pass in which the thread neither runs nor waits for a processor. */
    private void passTime(long ms) {
        nowMs += ms;
    }

    private void runFor(long ms) {
        system.ranMs += ms;
        nowMs += ms;
    }

    private void waitForProcessor(long ms) {
        system.waitedMs += ms;
        nowMs += ms;
    }

    private void runTask(Runnable body) {
        long began = nowMs;
        body.run();
        monitor.taskEnded(TASK, nanos(began), nanos(nowMs));
    }

    private void fireTimer(long dueMs) {
        monitor.timerFired(nanos(dueMs), nanos(nowMs));
    }

    private Map<String, Object> onlyLine(String event) {
        assertEquals(log.lines(event).size(), 1, log.lines() + "");
        return log.lines(event).get(0).fields();
    }

    private void finishStartUp() {
        passTime(START_UP_MS);
        monitor.startUpEnded(nanos(nowMs));
        passTime(FIRST_READINGS_MS);
        runTask(() -> {});
        runTask(() -> {});
    }

    @Test
    public void timerOnTimeIsNotLogged() {
        finishStartUp();
        fireTimer(nowMs - 50);
        assertEquals(log.lines(), List.of());
    }

    @Test
    public void stoppedLoopIsReportedBlocked() {
        finishStartUp();
        passTime(300);
        fireTimer(nowMs - 200);
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
        passTime(10);
        waitForProcessor(180);
        runFor(20);
        fireTimer(nowMs - 200);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("waited_ms"), 180L);
        assertEquals(line.get("ran_ms"), 20L);
        assertEquals(line.get("blocked_ms"), 0L);
    }

    /** Work from before the last reading that precedes the late span is not in the line. */
    @Test
    public void earlierSlowTasksAreExcluded() {
        finishStartUp();
        runTask(() -> waitForProcessor(49));
        runTask(() -> waitForProcessor(49));
        runTask(() -> waitForProcessor(49));
        runTask(() -> runFor(2));
        passTime(5_000);
        runFor(70);
        fireTimer(nowMs - 70);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("waited_ms"), 0L);
        assertTrue((Long) line.get("ran_ms") <= 72, line + "");
        assertEquals(line.get("blocked_ms"), 0L);
    }

    /** The same without an earlier log line: the readings delimit the span, not the log lines. */
    @Test
    public void earlierUnloggedWaitIsExcluded() {
        finishStartUp();
        waitForProcessor(1_500);
        runTask(() -> runFor(1));
        passTime(100);
        fireTimer(nowMs - 60);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("waited_ms"), 0L);
        assertEquals(line.get("within_ms"), 100L);
        assertEquals(line.get("blocked_ms"), 60L);
    }

    /** Readings at the end of tasks within the late span do not shorten what the line covers. */
    @Test
    public void readingsWithinSpanDoNotShortenIt() {
        finishStartUp();
        passTime(100);
        runTask(() -> runFor(1));
        long due = nowMs;
        for (int i = 0; i < 20; i++) {
            runTask(() -> runFor(40));
        }
        passTime(200);
        fireTimer(due);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("ms"), 1_000L);
        assertEquals(line.get("within_ms"), 1_000L);
        assertEquals(line.get("ran_ms"), 800L);
        assertEquals(line.get("blocked_ms"), 200L);
    }

    /** For a span longer than the kept readings, the line covers only the time of these. */
    @Test
    public void blockedTimeIsLimitedToCoveredTime() {
        finishStartUp();
        long due = nowMs;
        for (int i = 0; i < 400; i++) {
            runTask(() -> runFor(50));
        }
        fireTimer(due);
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
        passTime(300);
        fireTimer(nowMs - 300);
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
        passTime(100);
        fireTimer(nowMs - 100);
        fireTimer(nowMs - 90);
        passTime(1_000);
        fireTimer(nowMs - 60);
        assertEquals(log.lines("loop.timer_late").size(), 1);
        passTime(1);
        fireTimer(nowMs - 60);
        assertEquals(log.lines("loop.timer_late").size(), 2);
        assertEquals(monitor.takeMaxTimerLatenessMs(), 100.0);
        assertEquals(monitor.takeMaxTimerLatenessMs(), 0.0);
    }

    @Test
    public void slowTaskIsLoggedWithTimeSplit() {
        finishStartUp();
        runTask(() -> runFor(50));
        assertEquals(log.lines(), List.of());
        runTask(
                () -> {
                    runFor(10);
                    waitForProcessor(20);
                    passTime(30);
                });
        Map<String, Object> line = onlyLine("loop.task_slow");
        assertEquals(line.get("ms"), 60L);
        assertEquals(line.get("within_ms"), 60L);
        assertEquals(line.get("ran_ms"), 10L);
        assertEquals(line.get("waited_ms"), 20L);
        assertEquals(line.get("blocked_ms"), 30L);
        assertEquals(line.get("task"), "LatenessMonitorTest");
        runTask(() -> passTime(500));
        assertEquals(log.lines("loop.task_slow").size(), 1);
        runTask(() -> passTime(501));
        assertEquals(log.lines("loop.task_slow").size(), 2);
    }

    /** A task that is no lambda is logged with its class name. */
    @Test
    public void taskOfNamedClassIsLoggedByName() {
        class Sweep implements Runnable {
            @Override
            public void run() {}
        }

        monitor.taskEnded(new Sweep(), nanos(0), nanos(51));
        assertEquals(onlyLine("loop.task_slow").get("task"), "LatenessMonitorTest$1Sweep");
    }

    /** Runs tasks of 1 ms for a time, {@code tasks} of them in each 10 ms. */
    private void runShortTasks(long ms, int tasks) {
        for (long i = 0; i < ms; i++) {
            if (i % 10 < tasks) {
                runTask(() -> runFor(1));
            } else {
                passTime(1);
            }
        }
    }

    /** Readings cost system calls: there are none while a process starts, and few later. */
    @Test
    public void readingsAreRare() {
        runShortTasks(9_999, 10);
        assertEquals(system.useReadings + system.stallReadings + system.machineReadings, 0);
        runShortTasks(1, 10);
        assertEquals(system.useReadings, 1);
        runShortTasks(2_000, 1);
        assertEquals(system.useReadings, 20);
        assertEquals(system.stallReadings, 2);
        assertEquals(system.machineReadings, 2);
    }

    /** A busy loop is read more often, so that the use of each task can be reported. */
    @Test
    public void busyLoopIsReadMoreOften() {
        monitor.startUpEnded(nanos(nowMs));
        runShortTasks(2_000, 10);
        assertEquals(system.useReadings, 100);
        assertEquals(system.stallReadings, 1);
        assertEquals(system.machineReadings, 1);
    }

    /** The program reports the end of its start-up; the costlier readings begin 1 s after that. */
    @Test
    public void readingsBeginAtEndOfStartUp() {
        runShortTasks(500, 10);
        monitor.startUpEnded(nanos(nowMs));
        runShortTasks(1, 10);
        assertEquals(system.useReadings, 1);
        runShortTasks(999, 1);
        assertEquals(system.stallReadings + system.machineReadings, 0);
        runShortTasks(20, 1);
        assertEquals(system.useReadings, 11);
        assertEquals(system.stallReadings, 1);
        assertEquals(system.machineReadings, 1);
    }

    /** With a listener, spans must be measured accurately from the first task on. */
    @Test
    public void readingsBeginWithListener() {
        monitor.setListener(lateSpans::add);
        passTime(300);
        runTask(() -> runFor(1));
        assertEquals(system.useReadings, 1);
        passTime(100);
        fireTimer(nowMs - 60);
        assertEquals(onlyLine("loop.timer_late").get("within_ms"), 100L);
    }

    /** A system that provides no readings is not queried more often than others. */
    @Test
    public void systemWithoutReadingsIsNotPolledMoreOften() {
        system.isSilent = true;
        monitor.startUpEnded(nanos(nowMs));
        runShortTasks(2_000, 1);
        assertEquals(system.useReadings, 19);
        assertEquals(system.machineReadings, 1);
    }

    /** A line during start-up counts from the thread's start and omits the machine's figures. */
    @Test
    public void startUpLineCountsFromThreadStart() {
        system.majorFaults = 4;
        runFor(400);
        waitForProcessor(200);
        fireTimer(nowMs - 100);
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
        passTime(300);
        fireTimer(nowMs - 200);
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
        waitForProcessor(30);
        passTime(70);
        fireTimer(due);
        passTime(60);
        fireTimer(nowMs - 60);
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

    /** Timers made late by one stall give one span; lateness that continues is reported too. */
    @Test
    public void spansDoNotOverlap() {
        monitor.setListener(lateSpans::add);
        finishStartUp();
        long due = nowMs;
        passTime(100);
        fireTimer(due);
        runFor(10);
        fireTimer(due + 1);
        fireTimer(due + 2);
        runFor(45);
        fireTimer(due + 50);
        assertEquals(lateSpans.size(), 2, lateSpans + "");
        assertEquals(lateSpans.get(0).untilMs(), LOOP_STARTED_UNIX_MS + due + 100);
        assertEquals(
                lateSpans.get(1),
                new LateSpan(
                        LOOP_STARTED_UNIX_MS + due + 100, LOOP_STARTED_UNIX_MS + nowMs, 55, 0, 0));
    }

    /** A slow listener does not change what the line reports about the span before it. */
    @Test
    public void listenerWorkIsExcludedFromLine() {
        monitor.setListener(span -> runFor(400));
        finishStartUp();
        passTime(100);
        fireTimer(nowMs - 100);
        Map<String, Object> line = onlyLine("loop.timer_late");
        assertEquals(line.get("ran_ms"), 0L);
        assertEquals(line.get("blocked_ms"), 100L);
    }

    @Test
    public void failingListenerDoesNotEndTask() {
        monitor.setListener(
                span -> {
                    throw new IllegalStateException("thrown by the test");
                });
        finishStartUp();
        passTime(100);
        fireTimer(nowMs - 100);
        assertEquals(log.lines("loop.task_failed").size(), 1);
        assertEquals(log.lines("loop.timer_late").size(), 1);
    }

    @Test
    public void closeClosesReadings() {
        monitor.close();
        assertTrue(system.isClosed);
    }
}
