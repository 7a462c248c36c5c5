package gingerspool.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The loop of the programs tells of its lateness. */
public class SingleThreadEventLoopTest {
    private static final long SPIN_NANOS = 60_000_000;
    private static final long ANSWER_S = 20;

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
            double firedAt = fired.get(ANSWER_S, TimeUnit.SECONDS);
            assertEquals(lateSpans.size(), 1, lateSpans + "");
            LateSpan span = lateSpans.get(0);
            assertTrue(span.fromMs() >= scheduledAt.get(), span + " " + scheduledAt.get());
            assertTrue(span.untilMs() <= firedAt, span + " " + firedAt);
            assertTrue(span.untilMs() - span.fromMs() > 50, span + "");
            assertTrue(loop.takeLatestTimerMs() > 50);
        } finally {
            loop.stop();
        }
    }

    /** Nothing is left open by a loop that has ended, whichever readings it had taken. */
    @Test
    public void unusedLoopCanBeStopped() throws IOException {
        new SingleThreadEventLoop().stop();
    }

    /** Timers that waited for the end of a stall still run in the order in which they were due. */
    @Test
    public void heldTimersRunInDueOrder() throws Exception {
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        try {
            int many = 20;
            List<Integer> ran = new CopyOnWriteArrayList<>();
            List<Integer> order = new CopyOnWriteArrayList<>();
            CompletableFuture<Void> all = new CompletableFuture<>();
            loop.submit(
                    () -> {
                        for (int i = 0; i < many; i++) {
                            int number = i;
                            order.add(number);
                            loop.schedule(
                                    number,
                                    () -> {
                                        ran.add(number);
                                        if (ran.size() == many) {
                                            all.complete(null);
                                        }
                                    });
                        }
                        long until = System.nanoTime() + 3 * SPIN_NANOS;
                        while (System.nanoTime() < until) {
                            Thread.onSpinWait();
                        }
                    });
            all.get(ANSWER_S, TimeUnit.SECONDS);
            assertEquals(ran, order);
        } finally {
            loop.stop();
        }
    }
}
