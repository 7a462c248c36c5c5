package gingerspool.wire;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** An event that a poll of the sockets did not return arrived after that poll. */
public class EventExecutorTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final long LOAD_NANOS = 400 * NANOS_PER_MS;
    private static final long EVENT_INTERVAL_NANOS = NANOS_PER_MS;
    private static final long RESULT_TIMEOUT_S = 20;

    /**
     * Under load, events follow each other within milliseconds. They must not all count as one
     * poll: the previous poll would then date from before the load.
     */
    @Test
    public void closelySpacedEventsAreSplitIntoPolls() throws Exception {
        ExecutorService loop = Executors.newSingleThreadExecutor();
        try {
            EventExecutor events = new EventExecutor(loop, thread -> false);
            long end = System.nanoTime() + LOAD_NANOS;
            while (System.nanoTime() < end) {
                events.execute(() -> {});
                spin(EVENT_INTERVAL_NANOS);
            }
            CompletableFuture<EventExecutor.Notice> last = new CompletableFuture<>();
            events.execute(() -> last.complete(events.currentNotice()));
            EventExecutor.Notice notice = last.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
            long age = (notice.noticedAt() - notice.previousPollAt()) / NANOS_PER_MS;
            assertTrue(
                    age < LOAD_NANOS / NANOS_PER_MS / 2,
                    "the previous poll was " + age + " ms before");
        } finally {
            loop.shutdownNow();
        }
    }

    private static void spin(long nanos) {
        long until = System.nanoTime() + nanos;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }
}
