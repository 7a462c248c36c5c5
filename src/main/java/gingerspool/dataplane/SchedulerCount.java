package gingerspool.dataplane;

import java.util.ArrayDeque;

/**
 * The number of schedulers that share the platform's limits: the maximum reported within a sliding
 * window. Guards the limits while schedulers register with a new leader one after another, when the
 * current count is too low and each would take too large a share.
 *
 * <p>Used by {@link RequestRouter} on the event loop; times are in milliseconds.
 */
final class SchedulerCount {
    private record Report(double at, int count) {}

    private final double window;

    /** Reports that can still be the maximum: the largest and oldest first. */
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
     * The maximum within the window. The latest report counts regardless of its age; 1 before the
     * first report.
     */
    int max(double now) {
        while (reports.size() > 1 && secondReportAt() <= now - window) {
            reports.pollFirst();
        }
        return reports.isEmpty() ? 1 : reports.peekFirst().count;
    }

    /** When the second report was made, which superseded the first one; NaN if there is none. */
    private double secondReportAt() {
        return reports.stream().skip(1).findFirst().map(Report::at).orElse(Double.NaN);
    }
}
