package gingerspool.dataplane;

import java.util.ArrayDeque;

/**
 * How many schedulers share the platform's limits: the most that was reported within a window.
 * Guards the limits while schedulers register with a new leader one after the other, when each
 * would take too large a share. Times are milliseconds.
 */
final class SchedulerCount {
    private record Report(double at, int count) {}

    private final double window;

    /** Counts that may still be the most, the largest and oldest first. */
    private final ArrayDeque<Report> reports = new ArrayDeque<>();

    SchedulerCount(double window) {
        this.window = window;
    }

    void report(double now, int count) {
        while (!reports.isEmpty() && reports.peekLast().count <= count) {
            reports.pollLast();
        }
        reports.addLast(new Report(now, count));
    }

    /**
     * The most within the window; the last one reported counts however old it is. One if none was.
     */
    int max(double now) {
        while (reports.size() > 1 && secondReportAt() <= now - window) {
            reports.pollFirst();
        }
        return reports.isEmpty() ? 1 : reports.peekFirst().count;
    }

    /**
     * When the count that followed the first one was reported: since then the first has been old.
     */
    private double secondReportAt() {
        return reports.stream().skip(1).findFirst().map(Report::at).orElse(Double.NaN);
    }
}
