package gingerspool.barograph;

import gingerspool.weathervane.Change;
import gingerspool.weathervane.Member;
import java.util.List;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.testng.annotations.Test;

/** Where the loop and the ledger's thread meet: every interleaving is one that some order explains. */
public class BacklogTest {
    private static final Member SELF = new Member("10.0.0.1", "m");

    /** What Lincheck plays: one side adds, the other takes. */
    public static final class Play {
        private final Backlog backlog = new Backlog();
        private long ticket;

        @Operation(nonParallelGroup = "loop")
        public void add() {
            backlog.add(new Change(++ticket, SELF, 1, null, 1, List.of(), null));
        }

        @Operation(nonParallelGroup = "disk")
        public List<Long> take() {
            return backlog.takeBeyond(0).stream().map(Change::ticket).toList();
        }

        @Operation(nonParallelGroup = "disk")
        public List<Long> takeWhatIsNotCovered() {
            return backlog.takeBeyond(2).stream().map(Change::ticket).toList();
        }
    }

    @Test
    public void nothingIsLostDoubledOrOutOfOrder() {
        LinChecker.check(Play.class, new StressOptions().iterations(20).invocationsPerIteration(500)
            .threads(2).actorsPerThread(4));
    }
}
