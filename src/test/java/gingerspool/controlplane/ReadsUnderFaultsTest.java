package gingerspool.controlplane;

import static gingerspool.controlplane.ClusterModel.completeConfiguration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.ClusterModel.Answer;
import gingerspool.controlplane.ClusterModel.Node;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Reads of the configuration on every member during network partitions and crashes, including more
 * crashes at once than the cluster tolerates: no answer is older than the newest version
 * acknowledged before the read was sent, and no acknowledged version is lost.
 */
public class ReadsUnderFaultsTest {
    private static final int FAULT_STEPS = 400;
    private static final double STEP_MS = 50;

    /** Steps without faults at the end of a run. */
    private static final int RECOVERY_STEPS = 100;

    private static final Pattern VERSION = Pattern.compile("\"Version\" ?: ?([0-9]+)");

    @DataProvider
    Object[][] seeds() {
        Object[][] seeds = new Object[30][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /** A read, and the newest version that was acknowledged when it was sent. */
    private record Read(Answer answer, long newestAcknowledged) {}

    /** A change, and the version that it makes. */
    private record Change(Answer answer, long version) {}

    private static final class FaultRun {
        private final SplittableRandom random;
        private final ClusterModel cluster;
        private final List<Read> reads = new ArrayList<>();
        private final List<Change> changes = new ArrayList<>();
        private long lastProposedVersion;
        private int answeredReads;
        private int maxNodesDown;

        FaultRun(long seed) {
            random = new SplittableRandom(seed);
            cluster = new ClusterModel(seed);
            cluster.awaitLeader();
        }

        private long newestAcknowledged() {
            return changes.stream()
                    .filter(change -> change.answer.status == 200)
                    .mapToLong(Change::version)
                    .max()
                    .orElse(0);
        }

        void run() {
            for (int step = 0; step < FAULT_STEPS; step++) {
                if (step % 10 == 0) {
                    injectFault();
                }
                step();
            }
            cluster.cutLinks.clear();
            cluster.nodes.stream().filter(node -> !node.isUp()).forEach(Node::start);
            for (int step = 0; step < RECOVERY_STEPS; step++) {
                step();
            }
        }

        private void step() {
            for (Node node : cluster.nodes) {
                if (node.isUp()) {
                    reads.add(new Read(node.read(), newestAcknowledged()));
                    changeAt(node);
                }
            }
            cluster.loop.run(STEP_MS);
            reads.forEach(FaultRun::check);
            answeredReads += (int) reads.stream().filter(read -> read.answer.status == 200).count();
            reads.removeIf(read -> read.answer.status != 0);
        }

        /** No version is proposed twice, so that the version in an answer identifies the change. */
        private void changeAt(Node node) {
            if (node.isLeading() && random.nextInt(3) == 0) {
                lastProposedVersion++;
                long baseVersion = node.state.version();
                Answer answer =
                        node.change(
                                true,
                                baseVersion,
                                completeConfiguration(
                                        lastProposedVersion, "n" + lastProposedVersion));
                changes.add(new Change(answer, lastProposedVersion));
            }
        }

        private static void check(Read read) {
            int status = read.answer.status;
            if (status == 200 || status == 404) {
                long version = versionOf(read.answer);
                assertTrue(
                        version >= read.newestAcknowledged,
                        version
                                + " was read after "
                                + read.newestAcknowledged
                                + " was acknowledged");
            } else {
                assertTrue(status == 0 || status == 503 || status == 307, "" + status);
            }
        }

        /** A read gets status 404 if there is no configuration yet. */
        private static long versionOf(Answer answer) {
            if (answer.status == 404) {
                return 0;
            }
            Matcher version = VERSION.matcher(answer.body);
            assertTrue(version.find(), answer.body);
            return Long.parseLong(version.group(1));
        }

        /**
         * Isolates a member, restores all links, kills a member, or restarts the killed ones; disks
         * keep their content.
         */
        private void injectFault() {
            Node node = cluster.nodes.get(random.nextInt(cluster.nodes.size()));
            switch (random.nextInt(4)) {
                case 0 -> cluster.isolate(node);
                case 1 -> cluster.cutLinks.clear();
                case 2 -> {
                    if (node.isUp()) {
                        node.kill();
                    }
                }
                default -> cluster.nodes.stream().filter(n -> !n.isUp()).forEach(Node::start);
            }
            int nodesDown = (int) cluster.nodes.stream().filter(n -> !n.isUp()).count();
            maxNodesDown = Math.max(maxNodesDown, nodesDown);
        }
    }

    @Test(dataProvider = "seeds")
    public void readsAreNeverStale(long seed) {
        FaultRun run = new FaultRun(seed);
        run.run();
        assertTrue(run.answeredReads > 0, "no read was answered");
        assertTrue(run.newestAcknowledged() > 0, "no change was acknowledged");
        long version = run.cluster.awaitLeader().state.version();
        assertTrue(
                version >= run.newestAcknowledged(), version + " of " + run.newestAcknowledged());
        for (Node node : run.cluster.nodes) {
            assertEquals(node.state.version(), version);
        }
    }

    /** The runs above do exceed the one crash that three members tolerate. */
    @Test
    public void faultsExceedToleranceInSomeSeeds() {
        int runsBeyondTolerance = 0;
        for (Object[] seed : seeds()) {
            FaultRun run = new FaultRun((long) seed[0]);
            run.run();
            runsBeyondTolerance += run.maxNodesDown >= 2 ? 1 : 0;
        }
        assertTrue(runsBeyondTolerance >= 5, runsBeyondTolerance + " seeds");
    }
}
