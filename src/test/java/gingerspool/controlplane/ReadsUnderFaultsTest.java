package gingerspool.controlplane;

import static gingerspool.controlplane.CoreModel.completeConfiguration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.CoreModel.Answer;
import gingerspool.controlplane.CoreModel.Node;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Reads of the configuration on every member, in touch or not, while the core is cut into halves
 * and members are killed, also more at once than it tolerates: no answer is older than what was
 * acknowledged before the read was sent, and nothing acknowledged is lost.
 */
public class ReadsUnderFaultsTest {
    private static final int FAULT_STEPS = 400;
    private static final double STEP_MS = 50;

    /** From here on nothing fails any more. */
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
        private final CoreModel core;
        private final List<Read> reads = new ArrayList<>();
        private final List<Change> changes = new ArrayList<>();
        private long lastProposedVersion;
        private int answeredReads;
        private int maxNodesDown;

        FaultRun(long seed) {
            random = new SplittableRandom(seed);
            core = new CoreModel(seed);
            core.awaitLeader();
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
            core.cutLinks.clear();
            core.nodes.stream().filter(node -> !node.isUp()).forEach(Node::start);
            for (int step = 0; step < RECOVERY_STEPS; step++) {
                step();
            }
        }

        private void step() {
            for (Node node : core.nodes) {
                if (node.isUp()) {
                    reads.add(new Read(node.read(), newestAcknowledged()));
                    changeAt(node);
                }
            }
            core.loop.run(STEP_MS);
            reads.forEach(FaultRun::check);
            answeredReads += (int) reads.stream().filter(read -> read.answer.status == 200).count();
            reads.removeIf(read -> read.answer.status != 0);
        }

        /** Versions are never proposed twice, so that an answer tells which change it has seen. */
        private void changeAt(Node node) {
            if (node.isLeading() && random.nextInt(3) == 0) {
                lastProposedVersion++;
                long base = node.state.version();
                Answer answer =
                        node.change(
                                true,
                                base,
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
                        version + " was read, " + read.newestAcknowledged + " acknowledged before");
            } else {
                assertTrue(status == 0 || status == 503 || status == 307, "" + status);
            }
        }

        /** Without any configuration a read is answered 404. */
        private static long versionOf(Answer answer) {
            if (answer.status == 404) {
                return 0;
            }
            Matcher version = VERSION.matcher(answer.body);
            assertTrue(version.find(), answer.body);
            return Long.parseLong(version.group(1));
        }

        /** Cuts the core into two sides or joins it, kills or starts a member; disks are kept. */
        private void injectFault() {
            Node node = core.nodes.get(random.nextInt(core.nodes.size()));
            switch (random.nextInt(4)) {
                case 0 -> core.isolate(node);
                case 1 -> core.cutLinks.clear();
                case 2 -> {
                    if (node.isUp()) {
                        node.kill();
                    }
                }
                default -> core.nodes.stream().filter(n -> !n.isUp()).forEach(Node::start);
            }
            int down = (int) core.nodes.stream().filter(n -> !n.isUp()).count();
            maxNodesDown = Math.max(maxNodesDown, down);
        }
    }

    @Test(dataProvider = "seeds")
    public void readsAreNeverStale(long seed) {
        FaultRun play = new FaultRun(seed);
        play.run();
        assertTrue(play.answeredReads > 0, "nothing was served");
        assertTrue(play.newestAcknowledged() > 0, "nothing was acknowledged");
        long version = play.core.awaitLeader().state.version();
        assertTrue(
                version >= play.newestAcknowledged(), version + " of " + play.newestAcknowledged());
        for (Node node : play.core.nodes) {
            assertEquals(node.state.version(), version);
        }
    }

    /** The plays above do go beyond the one loss that three members tolerate. */
    @Test
    public void faultsExceedToleranceInSomeSeeds() {
        int beyond = 0;
        for (Object[] seed : seeds()) {
            FaultRun play = new FaultRun((long) seed[0]);
            play.run();
            beyond += play.maxNodesDown >= 2 ? 1 : 0;
        }
        assertTrue(beyond >= 5, beyond + " seeds");
    }
}
