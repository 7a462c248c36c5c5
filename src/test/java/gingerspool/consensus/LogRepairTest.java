package gingerspool.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.consensus.TestCluster.Node;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Log repair: logs that diverge over several terms converge, backing up by term, not by entry. */
public class LogRepairTest {
    private static final List<Member> VOTERS =
            List.of(
                    new Member("n0", Member.FOUNDER_ID),
                    new Member("n1", Member.FOUNDER_ID),
                    new Member("n2", Member.FOUNDER_ID));

    /** A log with a number of entries of each term, given as term, count, term, count, ... */
    private static List<LogEntry> logOf(int... termsAndCounts) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < termsAndCounts.length; i += 2) {
            for (int number = 0; number < termsAndCounts[i + 1]; number++) {
                long value = 1000L * termsAndCounts[i] + number;
                entries.add(
                        LogEntry.command(
                                termsAndCounts[i],
                                ByteBuffer.allocate(Long.BYTES).putLong(value).array()));
            }
        }
        return entries;
    }

    private static Node startNode(
            TestCluster cluster, int index, long term, List<LogEntry> entries) {
        Node node = cluster.add(VOTERS.get(index));
        node.disk =
                new PersistedState(
                        node.member, term, null, new Snapshot(0, 0, VOTERS, null), entries);
        node.start(List.of());
        return node;
    }

    /** 500 conflicting entries of four terms are removed in about one round per term. */
    @Test
    public void divergentLogIsBackedUpByTerm() {
        TestCluster cluster = new TestCluster(0, 1 << 20, 1000, 1);
        startNode(cluster, 0, 9, logOf(1, 10, 4, 100, 8, 100));
        startNode(cluster, 1, 9, logOf(1, 10, 4, 100, 8, 100));
        Node divergent = startNode(cluster, 2, 7, logOf(1, 10, 2, 150, 3, 150, 5, 100, 7, 100));
        int[] refusals = {0};
        cluster.isDelivered =
                e -> {
                    boolean refusal =
                            e.message() instanceof ConsensusMessage.AppendReply reply
                                    && !reply.matched();
                    refusals[0] += refusal ? 1 : 0;
                    return true;
                };
        cluster.awaitLeader();
        cluster.runUntil(1000, TestCluster::hasConverged);
        assertEquals(divergent.applied.size(), 210);
        assertTrue(refusals[0] <= 5, refusals[0] + " rejections");
    }

    /** Random logs that elections can produce converge despite message loss. */
    @Test
    public void randomLogsConverge() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            TestCluster cluster = new TestCluster(0, 500, 100, seed);
            int commonEntries = random.nextInt(20);
            for (int i = 0; i < 3; i++) {
                List<Integer> termsAndCounts = new ArrayList<>(List.of(1, commonEntries));
                // Each term had one leader, so entries of the same term are equal.
                for (int term = 2 + i; term < 14; term += 3) {
                    if (random.nextBoolean()) {
                        termsAndCounts.addAll(List.of(term, 1 + random.nextInt(30)));
                    }
                }
                startNode(
                        cluster, i, 14, logOf(termsAndCounts.stream().mapToInt(p -> p).toArray()));
            }
            cluster.isDelivered = e -> random.nextInt(10) > 0;
            cluster.run(3000);
            cluster.isDelivered = e -> true;
            cluster.awaitLeader();
            cluster.proposeCommands(20, 50);
            cluster.runUntil(3000, TestCluster::hasConverged);
        }
    }

    /** Durable entries that a truncation removed do not count for the entries replacing them. */
    @Test
    public void truncationLowersDurableIndex() {
        assertEquals(acknowledgedBeforeSync(), 10);
        assertEquals(acknowledgedBeforeSync(ConsensusSafeguard.TRUNCATION_RESETS_DURABLE), 30);
    }

    private static long acknowledgedBeforeSync(ConsensusSafeguard... disabled) {
        TestCluster cluster = new TestCluster(0, 1 << 20, 1000, 1, disabled);
        Node node = startNode(cluster, 2, 2, logOf(1, 10, 2, 20));
        long[] acknowledged = {0};
        cluster.isDelivered =
                e -> {
                    if (e.message() instanceof ConsensusMessage.AppendReply reply
                            && reply.matched()) {
                        acknowledged[0] = Math.max(acknowledged[0], reply.lastIndex());
                    }
                    return false;
                };
        node.diskFails = true;
        node.replica.receive(
                cluster.now,
                VOTERS.get(0),
                new ConsensusMessage.AppendEntries(3, 10, 1, logOf(3, 20), 10, 0));
        return acknowledged[0];
    }

    /** Delayed entries that match the log do not remove the entries after them. */
    @Test
    public void delayedEntriesDoNotTruncateMatchingLog() {
        assertEquals(lastIndexAfterDelayedEntries(), 30);
        assertEquals(
                lastIndexAfterDelayedEntries(ConsensusSafeguard.TRUNCATE_ONLY_ON_CONFLICT), 15);
    }

    private static long lastIndexAfterDelayedEntries(ConsensusSafeguard... disabled) {
        TestCluster cluster = new TestCluster(0, 1 << 20, 1000, 1, disabled);
        Node node = startNode(cluster, 2, 2, logOf(1, 10, 2, 20));
        node.replica.receive(
                cluster.now,
                VOTERS.get(0),
                new ConsensusMessage.AppendEntries(2, 10, 1, logOf(2, 5), 10, 0));
        cluster.run(10);
        return node.disk.entries().size();
    }
}
