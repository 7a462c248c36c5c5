package gingerspool.storage;

import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import java.util.List;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.testng.annotations.Test;

/**
 * Checks with Lincheck that the queue between the event loop and the log's thread is linearizable.
 */
public class WriteQueueTest {
    private static final Member SELF = new Member("10.0.0.1", "m");

    /** The operations that Lincheck runs: one thread adds, the other takes. */
    public static final class QueueOperations {
        private final WriteQueue queue = new WriteQueue();
        private long ticket;

        @Operation(nonParallelGroup = "loop")
        public void add() {
            queue.add(new LogWrite(++ticket, SELF, 1, null, 1, List.of(), null));
        }

        @Operation(nonParallelGroup = "disk")
        public List<Long> take() {
            return queue.drainAfter(0).stream().map(LogWrite::ticket).toList();
        }

        @Operation(nonParallelGroup = "disk")
        public List<Long> takeUncovered() {
            return queue.drainAfter(2).stream().map(LogWrite::ticket).toList();
        }
    }

    @Test
    public void nothingIsLostDoubledOrOutOfOrder() {
        LinChecker.check(
                QueueOperations.class,
                new StressOptions()
                        .iterations(20)
                        .invocationsPerIteration(500)
                        .threads(2)
                        .actorsPerThread(4));
    }
}
