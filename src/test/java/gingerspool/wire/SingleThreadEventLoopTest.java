package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The production event loop reports its lateness and runs held timers in order. */
public class SingleThreadEventLoopTest {
    private static final long SPIN_NANOS = 60_000_000;
    private static final long RESULT_TIMEOUT_S = 20;

    @Test
    public void blockingTaskMakesTimersLate() throws Exception {
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        try {
            List<LateSpan> lateSpans = new CopyOnWriteArrayList<>();
            loop.setLatenessListener(lateSpans::add);
            CompletableFuture<Double> fired = new CompletableFuture<>();
            CompletableFuture<Double> scheduledAt = new CompletableFuture<>();
            loop.submit(
                    () -> {
                        scheduledAt.complete(loop.now());
                        loop.schedule(0, () -> fired.complete(loop.now()));
                        long until = System.nanoTime() + SPIN_NANOS;
                        while (System.nanoTime() < until) {
                            Thread.onSpinWait();
                        }
                    });
            double firedAt = fired.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
            assertEquals(lateSpans.size(), 1, lateSpans + "");
            LateSpan span = lateSpans.get(0);
            assertTrue(span.fromMs() >= scheduledAt.get(), span + " " + scheduledAt.get());
            assertTrue(span.untilMs() <= firedAt, span + " " + firedAt);
            assertTrue(span.untilMs() - span.fromMs() > 50, span + "");
            assertTrue(loop.takeMaxTimerLatenessMs() > 50);
        } finally {
            loop.stop();
        }
    }

    /** Stopping must also work for a loop that has taken no readings. */
    @Test
    public void unusedLoopCanBeStopped() throws IOException {
        new SingleThreadEventLoop().stop();
    }

    /** Timers held back until after a stall still run in the order in which they were due. */
    @Test
    public void heldTimersRunInDueOrder() throws Exception {
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        try {
            int timerCount = 20;
            List<Integer> ran = new CopyOnWriteArrayList<>();
            List<Integer> dueOrder = new CopyOnWriteArrayList<>();
            CompletableFuture<Void> allRan = new CompletableFuture<>();
            loop.submit(
                    () -> {
                        for (int i = 0; i < timerCount; i++) {
                            int number = i;
                            dueOrder.add(number);
                            loop.schedule(
                                    number,
                                    () -> {
                                        ran.add(number);
                                        if (ran.size() == timerCount) {
                                            allRan.complete(null);
                                        }
                                    });
                        }
                        long until = System.nanoTime() + 3 * SPIN_NANOS;
                        while (System.nanoTime() < until) {
                            Thread.onSpinWait();
                        }
                    });
            allRan.get(RESULT_TIMEOUT_S, TimeUnit.SECONDS);
            assertEquals(ran, dueOrder);
        } finally {
            loop.stop();
        }
    }
}
