package gingerspool.storage;

import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import java.util.List;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.testng.annotations.Test;

/**
 * Where the loop and the ledger's thread meet: every interleaving is one that some order explains.
 */
public class WriteQueueTest {
    private static final Member SELF = new Member("10.0.0.1", "m");

    /** What Lincheck plays: one side adds, the other takes. */
    public static final class Play {
        private final WriteQueue backlog = new WriteQueue();
        private long ticket;

        @Operation(nonParallelGroup = "loop")
        public void add() {
            backlog.add(new LogWrite(++ticket, SELF, 1, null, 1, List.of(), null));
        }

        @Operation(nonParallelGroup = "disk")
        public List<Long> take() {
            return backlog.drainAfter(0).stream().map(LogWrite::ticket).toList();
        }

        @Operation(nonParallelGroup = "disk")
        public List<Long> takeWhatIsNotCovered() {
            return backlog.drainAfter(2).stream().map(LogWrite::ticket).toList();
        }
    }

    @Test
    public void nothingIsLostDoubledOrOutOfOrder() {
        LinChecker.check(
                Play.class,
                new StressOptions()
                        .iterations(20)
                        .invocationsPerIteration(500)
                        .threads(2)
                        .actorsPerThread(4));
    }
}
