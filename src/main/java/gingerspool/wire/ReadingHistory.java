package gingerspool.wire;

import java.util.ArrayDeque;
import java.util.Iterator;

/** The last readings of something that grows, so that a span can begin at the one before it. */
final class ReadingHistory<T> {
    /** A reading and when it was taken, as System.nanoTime tells it. */
    record Reading<T>(long atNanos, T value) {}

    private final int most;
    private final ArrayDeque<Reading<T>> readings = new ArrayDeque<>();

    /** Keeps so many readings; the first one stands for the time before it. */
    ReadingHistory(int most, long firstAtNanos, T first) {
        this.most = most;
        add(firstAtNanos, first);
    }

    /** Adds a reading that is later than all before it. */
    void add(long atNanos, T value) {
        if (readings.size() == most) {
            readings.removeFirst();
        }
        readings.addLast(new Reading<>(atNanos, value));
    }

    Reading<T> latest() {
        return readings.getLast();
    }

    /** The latest reading that is no later than this, or the earliest that is kept. */
    Reading<T> latestUntil(long nanos) {
        Iterator<Reading<T>> fromLatest = readings.descendingIterator();
        Reading<T> found = fromLatest.next();
        while (found.atNanos() - nanos > 0 && fromLatest.hasNext()) {
            found = fromLatest.next();
        }
        return found;
    }
}
