package gingerspool.controlplane;

import static gingerspool.controlplane.CoreModel.whole;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.CoreModel.Answer;
import gingerspool.controlplane.CoreModel.Node;
import gingerspool.peers.ModelEventLoop;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class GracefulShutdownTest {
    private static final double GRACE = 6_000;

    private final ModelEventLoop loop = new ModelEventLoop();

    /** A process whose answers a test sets, and what it was told, with the time. */
    private final class Told implements GracefulShutdown.Process {
        final List<String> told = new ArrayList<>();
        final double from = loop.now();
        boolean mayStop;
        boolean owes;

        @Override
        public boolean mayStop() {
            return mayStop;
        }

        @Override
        public boolean hasPendingCalls() {
            return owes;
        }

        @Override
        public void closeToOperators() {
            told.add("closed " + Math.round((loop.now() - from) / 100));
        }

        @Override
        public void end() {
            told.add("ended " + Math.round((loop.now() - from) / 100));
        }
    }

    @Test
    public void endsAtOnceWhereNothingHoldsIt() {
        Told process = new Told();
        process.mayStop = true;
        GracefulShutdown stop = new GracefulShutdown(loop, GRACE, process);
        stop.begin();
        stop.begin();
        loop.run(GRACE);
        assertEquals(process.told, List.of("closed 0", "ended 0"));
    }

    @Test
    public void staysForItsReplacementAndForThoseWhoWait() {
        Told process = new Told();
        process.owes = true;
        new GracefulShutdown(loop, GRACE, process).begin();
        loop.run(1_000);
        assertEquals(process.told, List.of());
        process.mayStop = true;
        loop.run(500);
        process.owes = false;
        loop.run(500);
        assertEquals(process.told, List.of("closed 10", "ended 15"));
    }

    @Test
    public void endsWithinTheGracePeriodWhateverComes() {
        Told process = new Told();
        process.owes = true;
        new GracefulShutdown(loop, GRACE, process).begin();
        loop.run(GRACE);
        assertEquals(process.told, List.of("closed 36", "ended 51"));
    }

    /** The leader is told to leave with an order under way: it is answered, and another leads. */
    @Test
    public void aLeaderThatLeavesAnswersWhatIsUnderWay() {
        for (long seed = 0; seed < 10; seed++) {
            CoreModel core = new CoreModel(seed);
            Node leader = core.awaitLeader();
            Answer answer = leader.change(true, 0, whole(1, "a"));
            leader.replica.leave(core.loop.now());
            assertFalse(leader.leads());
            core.loop.run(3 * CoreModel.LEASE);
            assertEquals(answer.status, 200, answer.body);
            assertTrue(core.others(leader).stream().anyMatch(Node::leads));
            assertTrue(leader.replica.mayStop(core.loop.now()), "nobody waits to replace it");
        }
    }
}
