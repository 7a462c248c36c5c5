package gingerspool.wire;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** An event that a look at the sockets did not show came after that look. */
public class EventExecutorTest {
    private static final long MS = 1_000_000;
    private static final long LOAD_NANOS = 400 * MS;
    private static final long BETWEEN_NANOS = MS;
    private static final long ANSWER_S = 20;

    /**
     * Under load events follow each other within milliseconds for as long as it lasts; the last
     * look at the sockets is not as old as the load is.
     */
    @Test
    public void closelySpacedEventsAreSplitIntoPolls() throws Exception {
        ExecutorService loop = Executors.newSingleThreadExecutor();
        try {
            EventExecutor events = new EventExecutor(loop, thread -> false);
            long end = System.nanoTime() + LOAD_NANOS;
            while (System.nanoTime() < end) {
                events.execute(() -> {});
                spin(BETWEEN_NANOS);
            }
            CompletableFuture<EventExecutor.Notice> last = new CompletableFuture<>();
            events.execute(() -> last.complete(events.currentNotice()));
            EventExecutor.Notice notice = last.get(ANSWER_S, TimeUnit.SECONDS);
            long age = (notice.noticedAt() - notice.lookedAt()) / MS;
            assertTrue(age < LOAD_NANOS / MS / 2, "the last look was " + age + " ms before");
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
