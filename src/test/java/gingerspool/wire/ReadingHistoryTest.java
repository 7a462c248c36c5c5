package gingerspool.wire;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** The reading from which a span is measured is the last one before it. */
public class ReadingHistoryTest {
    @Test
    public void findsLatestReadingNotAfterInstant() {
        ReadingHistory<String> history = new ReadingHistory<>(3, 100, "first");
        history.add(200, "second");
        history.add(300, "third");
        assertEquals(history.latestUntil(300).value(), "third");
        assertEquals(history.latestUntil(299).value(), "second");
        assertEquals(history.latestUntil(200).value(), "second");
        assertEquals(history.latestUntil(199).value(), "first");
        assertEquals(history.latest().atNanos(), 300);
    }

    @Test
    public void returnsEarliestKeptReadingForOlderInstants() {
        ReadingHistory<String> history = new ReadingHistory<>(2, 100, "first");
        history.add(200, "second");
        history.add(300, "third");
        assertEquals(history.latestUntil(150).value(), "second");
    }

    /** System.nanoTime() may start at any value and overflow. */
    @Test
    public void instantsMayOverflow() {
        ReadingHistory<String> history = new ReadingHistory<>(2, Long.MAX_VALUE, "first");
        history.add(Long.MIN_VALUE + 9, "second");
        assertEquals(history.latestUntil(Long.MIN_VALUE + 8).value(), "first");
        assertEquals(history.latestUntil(Long.MIN_VALUE + 10).value(), "second");
    }
}
