package gingerspool.wire;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * The latest readings of an increasing count, so that the increase over a span can be taken from
 * the last reading before the span.
 */
final class ReadingHistory<T> {
    /** A reading and when it was taken, in System.nanoTime(). */
    record Reading<T>(long atNanos, T value) {}

    private final int capacity;
    private final ArrayDeque<Reading<T>> readings = new ArrayDeque<>();

    /** Keeps up to {@code capacity} readings; the first one also stands for the time before it. */
    ReadingHistory(int capacity, long firstAtNanos, T first) {
        this.capacity = capacity;
        add(firstAtNanos, first);
    }

    /** Adds a reading; it must be later than all readings before it. */
    void add(long atNanos, T value) {
        if (readings.size() == capacity) {
            readings.removeFirst();
        }
        readings.addLast(new Reading<>(atNanos, value));
    }

    Reading<T> latest() {
        return readings.getLast();
    }

    /** The latest reading that is not after this instant, or else the earliest one kept. */
    Reading<T> latestUntil(long nanos) {
        Iterator<Reading<T>> newestFirst = readings.descendingIterator();
        Reading<T> found = newestFirst.next();
        while (found.atNanos() - nanos > 0 && newestFirst.hasNext()) {
            found = newestFirst.next();
        }
        return found;
    }
}
