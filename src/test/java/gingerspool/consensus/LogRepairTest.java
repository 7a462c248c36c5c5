package gingerspool.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.consensus.TestCluster.Node;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Logs that differ over several terms are made alike, by whole terms and not entry by entry. */
public class LogRepairTest {
    private static final List<Member> VOTERS =
            List.of(
                    new Member("n0", Member.FOUNDER),
                    new Member("n1", Member.FOUNDER),
                    new Member("n2", Member.FOUNDER));

    /** A log with so many entries of each term, in turn: term, count, term, count. */
    private static List<LogEntry> log(int... termsAndCounts) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < termsAndCounts.length; i += 2) {
            for (int n = 0; n < termsAndCounts[i + 1]; n++) {
                long value = 1000L * termsAndCounts[i] + n;
                entries.add(
                        LogEntry.command(
                                termsAndCounts[i],
                                ByteBuffer.allocate(Long.BYTES).putLong(value).array()));
            }
        }
        return entries;
    }

    private static Node with(TestCluster cluster, int i, long term, List<LogEntry> entries) {
        Node node = cluster.add(VOTERS.get(i));
        node.disk =
                new PersistedState(
                        node.member, term, null, new Snapshot(0, 0, VOTERS, null), entries);
        node.start(List.of());
        return node;
    }

    /** 500 entries of four other terms are undone in as many rounds as there are terms, about. */
    @Test
    public void aLogThatDiffersOverSeveralTermsIsBackedUpByTerm() {
        TestCluster cluster = new TestCluster(0, 1 << 20, 1000, 1);
        with(cluster, 0, 9, log(1, 10, 4, 100, 8, 100));
        with(cluster, 1, 9, log(1, 10, 4, 100, 8, 100));
        Node other = with(cluster, 2, 7, log(1, 10, 2, 150, 3, 150, 5, 100, 7, 100));
        int[] refusals = {0};
        cluster.arrives =
                e -> {
                    boolean refusal =
                            e.message() instanceof ConsensusMessage.AppendReply r && !r.matched();
                    refusals[0] += refusal ? 1 : 0;
                    return true;
                };
        cluster.awaitLeader();
        cluster.runUntil(1000, TestCluster::agrees);
        assertEquals(other.applied.size(), 210);
        assertTrue(refusals[0] <= 5, refusals[0] + " refusals");
    }

    /** Any two logs that can come of elections are made alike, whatever is lost on the way. */
    @Test
    public void drawnLogsAreMadeAlike() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom chance = new SplittableRandom(seed);
            TestCluster cluster = new TestCluster(0, 500, 100, seed);
            int common = chance.nextInt(20);
            for (int i = 0; i < 3; i++) {
                List<Integer> parts = new ArrayList<>(List.of(1, common));
                // Each term had one leader, so entries of one term are alike.
                for (int term = 2 + i; term < 14; term += 3) {
                    if (chance.nextBoolean()) {
                        parts.addAll(List.of(term, 1 + chance.nextInt(30)));
                    }
                }
                with(cluster, i, 14, log(parts.stream().mapToInt(p -> p).toArray()));
            }
            cluster.arrives = e -> chance.nextInt(10) > 0;
            cluster.run(3000);
            cluster.arrives = e -> true;
            cluster.awaitLeader();
            cluster.change(20, 50);
            cluster.runUntil(3000, TestCluster::agrees);
        }
    }

    /** Entries from before a truncation are not counted as durable for those that replace them. */
    @Test
    public void aTruncationTakesBackWhatWasDurable() {
        assertEquals(acknowledgedBeforeSync(), 10);
        assertEquals(acknowledgedBeforeSync(ConsensusSafeguard.TRUNCATION_RESETS_DURABLE), 30);
    }

    private static long acknowledgedBeforeSync(ConsensusSafeguard... out) {
        TestCluster cluster = new TestCluster(0, 1 << 20, 1000, 1, out);
        Node node = with(cluster, 2, 2, log(1, 10, 2, 20));
        long[] acknowledged = {0};
        cluster.arrives =
                e -> {
                    if (e.message() instanceof ConsensusMessage.AppendReply r && r.matched()) {
                        acknowledged[0] = Math.max(acknowledged[0], r.lastIndex());
                    }
                    return false;
                };
        node.diskFails = true;
        node.replica.receive(
                cluster.now,
                VOTERS.get(0),
                new ConsensusMessage.AppendEntries(3, 10, 1, log(3, 20), 10, 0));
        return acknowledged[0];
    }

    /** Late entries that match what is there remove nothing. */
    @Test
    public void lateEntriesRemoveNothingThatMatches() {
        assertEquals(lastAfterLateEntries(), 30);
        assertEquals(lastAfterLateEntries(ConsensusSafeguard.TRUNCATE_ONLY_ON_CONFLICT), 15);
    }

    private static long lastAfterLateEntries(ConsensusSafeguard... out) {
        TestCluster cluster = new TestCluster(0, 1 << 20, 1000, 1, out);
        Node node = with(cluster, 2, 2, log(1, 10, 2, 20));
        node.replica.receive(
                cluster.now,
                VOTERS.get(0),
                new ConsensusMessage.AppendEntries(2, 10, 1, log(2, 5), 10, 0));
        cluster.run(10);
        return node.disk.entries().size();
    }
}
