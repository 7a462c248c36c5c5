package gingerspool.dataplane;

import java.util.ArrayDeque;

/**
 * How many schedulers share the platform's limits: the most that was told within a window. Guards
 * the limits while schedulers register with a new leader one after the other, when each would take
 * too large a share. Times are milliseconds.
 */
final class SchedulerCount {
    private record Told(double at, int count) {}

    private final double window;

    /** Counts that may still be the most, the largest and oldest first. */
    private final ArrayDeque<Told> told = new ArrayDeque<>();

    SchedulerCount(double window) {
        this.window = window;
    }

    void told(double now, int count) {
        while (!told.isEmpty() && told.peekLast().count <= count) {
            told.pollLast();
        }
        told.addLast(new Told(now, count));
    }

    /** The most within the window; the last one told counts however old it is. One if none was. */
    int most(double now) {
        while (told.size() > 1 && nextAt() <= now - window) {
            told.pollFirst();
        }
        return told.isEmpty() ? 1 : told.peekFirst().count;
    }

    /** When the count that followed the first one was told: since then the first has been old. */
    private double nextAt() {
        return told.stream().skip(1).findFirst().map(Told::at).orElse(Double.NaN);
    }
}
