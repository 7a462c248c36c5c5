package gingerspool.wire;

import java.util.ArrayDeque;
import java.util.Iterator;

/** The last readings of something that grows, so that a span can begin at the one before it. */
final class ReadingHistory<T> {
    /** A reading and when it was taken, as System.nanoTime tells it. */
    record Reading<T>(long atNanos, T value) {}

    private final int capacity;
    private final ArrayDeque<Reading<T>> readings = new ArrayDeque<>();

    /** Keeps so many readings; the first one stands for the time before it. */
    ReadingHistory(int capacity, long firstAtNanos, T first) {
        this.capacity = capacity;
        add(firstAtNanos, first);
    }

    /** Adds a reading that is later than all before it. */
    void add(long atNanos, T value) {
        if (readings.size() == capacity) {
            readings.removeFirst();
        }
        readings.addLast(new Reading<>(atNanos, value));
    }

    Reading<T> latest() {
        return readings.getLast();
    }

    /** The latest reading that is no later than this, or the earliest that is kept. */
    Reading<T> latestUntil(long nanos) {
        Iterator<Reading<T>> newestFirst = readings.descendingIterator();
        Reading<T> found = newestFirst.next();
        while (found.atNanos() - nanos > 0 && newestFirst.hasNext()) {
            found = newestFirst.next();
        }
        return found;
    }
}
