package gingerspool.controlplane;

import static gingerspool.controlplane.ClusterModel.completeConfiguration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.ClusterModel.Answer;
import gingerspool.controlplane.ClusterModel.Node;
import gingerspool.peers.ModelEventLoop;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** What the shutdown waits for, and its deadlines within the grace period. */
public class GracefulShutdownTest {
    private static final double GRACE_PERIOD_MS = 6_000;

    private final ModelEventLoop loop = new ModelEventLoop();

    /**
     * A process whose state the test sets, and which records the calls with their times in units of
     * 100 ms.
     */
    private final class RecordingProcess implements GracefulShutdown.Process {
        final List<String> events = new ArrayList<>();
        final double startedAt = loop.now();
        boolean mayStop;
        boolean hasPendingCalls;

        @Override
        public boolean mayStop() {
            return mayStop;
        }

        @Override
        public boolean hasPendingCalls() {
            return hasPendingCalls;
        }

        @Override
        public void closeToOperators() {
            events.add("closed " + Math.round((loop.now() - startedAt) / 100));
        }

        @Override
        public void end() {
            events.add("ended " + Math.round((loop.now() - startedAt) / 100));
        }
    }

    @Test
    public void endsAtOnceWhenNothingIsPending() {
        RecordingProcess process = new RecordingProcess();
        process.mayStop = true;
        GracefulShutdown shutdown = new GracefulShutdown(loop, GRACE_PERIOD_MS, process);
        shutdown.start();
        shutdown.start();
        loop.run(GRACE_PERIOD_MS);
        assertEquals(process.events, List.of("closed 0", "ended 0"));
    }

    @Test
    public void waitsForReplacementAndPendingCalls() {
        RecordingProcess process = new RecordingProcess();
        process.hasPendingCalls = true;
        new GracefulShutdown(loop, GRACE_PERIOD_MS, process).start();
        loop.run(1_000);
        assertEquals(process.events, List.of());
        process.mayStop = true;
        loop.run(500);
        process.hasPendingCalls = false;
        loop.run(500);
        assertEquals(process.events, List.of("closed 10", "ended 15"));
    }

    @Test
    public void endsWithinGracePeriod() {
        RecordingProcess process = new RecordingProcess();
        process.hasPendingCalls = true;
        new GracefulShutdown(loop, GRACE_PERIOD_MS, process).start();
        loop.run(GRACE_PERIOD_MS);
        assertEquals(process.events, List.of("closed 36", "ended 51"));
    }

    /** A leader that leaves while a change is pending answers it, and another member takes over. */
    @Test
    public void answersPendingChangeWhenLeaderLeaves() {
        for (long seed = 0; seed < 10; seed++) {
            ClusterModel cluster = new ClusterModel(seed);
            Node leader = cluster.awaitLeader();
            Answer answer = leader.change(true, 0, completeConfiguration(1, "a"));
            leader.replica.leave(cluster.loop.now());
            assertFalse(leader.isLeading());
            cluster.loop.run(3 * ClusterModel.LEASE_MS);
            assertEquals(answer.status, 200, answer.body);
            assertTrue(cluster.others(leader).stream().anyMatch(Node::isLeading));
            assertTrue(
                    leader.replica.mayStop(cluster.loop.now()), "no member is left to replace it");
        }
    }
}
