package gingerspool.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gingerspool.consensus.TestCluster.Node;
import java.util.List;
import java.util.function.Predicate;
import org.testng.annotations.Test;

/** One-way and two-way link failures: which member leads, and for how long there is no leader. */
public class LinkFaultTest {
    private static final double LEASE_MS = TestCluster.LEASE_MS;

    private static boolean isFrom(ConsensusMessage.Envelope envelope, Node node) {
        return envelope.from().ip().equals(node.member.ip());
    }

    private static boolean isTo(ConsensusMessage.Envelope envelope, Node node) {
        return envelope.to().ip().equals(node.member.ip());
    }

    private static Node follower(TestCluster cluster) {
        return cluster.nodes.values().stream()
                .filter(n -> !n.isActiveLeader())
                .findFirst()
                .orElseThrow();
    }

    /**
     * Runs the cluster with a link failure; fails if two members lead at once. Returns the longest
     * time without a leader, in milliseconds.
     */
    private static double longestLeaderlessMs(
            TestCluster cluster,
            double durationMs,
            Predicate<ConsensusMessage.Envelope> isDelivered) {
        cluster.isDelivered = isDelivered;
        double longestMs = 0;
        double leaderlessMs = 0;
        for (double elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
            cluster.run(1);
            long leaders = cluster.nodes.values().stream().filter(Node::isActiveLeader).count();
            assertTrue(leaders <= 1, "two leaders");
            leaderlessMs = leaders == 0 ? leaderlessMs + 1 : 0;
            longestMs = Math.max(longestMs, leaderlessMs);
        }
        cluster.isDelivered = e -> true;
        return longestMs;
    }

    /**
     * A partitioned leader stops serving before another one serves, and after the partition it
     * follows the new leader and has the same state.
     */
    @Test
    public void partitionedLeaderStopsServingAndRejoinsAsFollower() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 1);
        Node oldLeader = cluster.awaitLeader();
        cluster.proposeCommands(5, 50);
        double leaderlessMs =
                longestLeaderlessMs(
                        cluster, 20_000, e -> !isFrom(e, oldLeader) && !isTo(e, oldLeader));
        assertTrue(leaderlessMs < 2.5 * LEASE_MS, leaderlessMs + " ms");
        assertFalse(oldLeader.isActiveLeader());
        assertNull(
                oldLeader.replica.leader(cluster.now),
                "a leader without a lease must not name itself");
        Node newLeader = cluster.leader();
        long term = newLeader.replica.term();
        cluster.proposeCommands(5, 50);
        cluster.runUntil(2 * LEASE_MS, TestCluster::hasConverged);
        assertEquals(
                cluster.leader(), newLeader, "the returning member must not disrupt the leader");
        assertEquals(newLeader.replica.term(), term);
    }

    /**
     * A leader that sends but receives nothing steps down by itself, since its heartbeats would
     * prevent an election. Without the safeguard there is no active leader any more.
     */
    @Test
    public void leaderWithoutInboundMessagesStepsDown() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 2);
        Node inboundBlocked = cluster.awaitLeader();
        double leaderlessMs = longestLeaderlessMs(cluster, 10_000, e -> !isTo(e, inboundBlocked));
        assertTrue(leaderlessMs < 5 * LEASE_MS, leaderlessMs + " ms");
        TestCluster unguarded =
                new TestCluster(3, 1 << 20, 1000, 2, ConsensusSafeguard.STEP_DOWN_WITHOUT_LEASE);
        Node unguardedLeader = unguarded.awaitLeader();
        assertTrue(longestLeaderlessMs(unguarded, 10_000, e -> !isTo(e, unguardedLeader)) > 9000);
    }

    /** A leader that receives messages but whose own messages are lost. */
    @Test
    public void leaderWithoutOutboundMessagesIsReplaced() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 3);
        Node outboundBlocked = cluster.awaitLeader();
        double leaderlessMs =
                longestLeaderlessMs(cluster, 10_000, e -> !isFrom(e, outboundBlocked));
        assertTrue(leaderlessMs < 2.5 * LEASE_MS, leaderlessMs + " ms");
        cluster.runUntil(2 * LEASE_MS, TestCluster::hasConverged);
    }

    /** A follower that receives nothing sends pre-votes but does not disrupt the leader. */
    @Test
    public void followerWithoutInboundMessagesRaisesNoTerm() {
        assertEquals(termsRaisedByIsolatedFollower(), 0);
        assertNotEquals(termsRaisedByIsolatedFollower(ConsensusSafeguard.PRE_VOTE), 0);
    }

    private static long termsRaisedByIsolatedFollower(ConsensusSafeguard... disabled) {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 4, disabled);
        Node leader = cluster.awaitLeader();
        long term = leader.replica.term();
        Node inboundBlocked = follower(cluster);
        longestLeaderlessMs(cluster, 10_000, e -> !isTo(e, inboundBlocked));
        cluster.run(3 * LEASE_MS);
        return cluster.awaitLeader().replica.term() - term;
    }

    /** Followers whose replies are lost do not extend the lease; the leader steps down. */
    @Test
    public void unheardFollowersDoNotExtendLease() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 5);
        Node leader = cluster.awaitLeader();
        cluster.isDelivered = e -> isFrom(e, leader);
        cluster.run(3 * LEASE_MS);
        assertFalse(leader.isActiveLeader());
        assertNull(leader.replica.leader(cluster.now));
        cluster.isDelivered = e -> true;
        cluster.awaitLeader();
    }

    /** A link between a follower and the leader that fails in one direction only. */
    @Test
    public void partialPartitionDoesNotChangeLeader() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 6);
        Node leader = cluster.awaitLeader();
        Node partlyConnected = follower(cluster);
        assertEquals(
                longestLeaderlessMs(
                        cluster, 10_000, e -> !(isFrom(e, partlyConnected) && isTo(e, leader))),
                0.0);
        assertEquals(
                longestLeaderlessMs(
                        cluster, 10_000, e -> !(isFrom(e, leader) && isTo(e, partlyConnected))),
                0.0);
        assertEquals(cluster.leader(), leader);
    }

    /** A machine that lost its disk joins by referral, as its requests do not reach the leader. */
    @Test
    public void learnerFindsLeaderByReferral() {
        TestCluster cluster = new TestCluster(3, 500, 100, 7);
        Node leader = cluster.awaitLeader();
        cluster.proposeCommands(20, 50);
        Node lost = cluster.nodes.values().stream().filter(n -> n != leader).toList().get(1);
        Node remaining = follower(cluster);
        lost.stop(0);
        boolean[] referred = {false};
        Node replacement = cluster.add(new Member(lost.member.ip(), "new"));
        cluster.isDelivered =
                e ->
                        !(e.message() instanceof ConsensusMessage.JoinRequest)
                                || !isTo(e, leader)
                                || referred[0];
        cluster.inTransit =
                e -> {
                    referred[0] |= e.message() instanceof ConsensusMessage.Referral;
                    return e;
                };
        replacement.start(List.of());
        cluster.runUntil(
                4 * LEASE_MS,
                c -> !leader.replica.members().contains(lost.member) && c.hasConverged());
        assertTrue(referred[0]);
        assertTrue(leader.replica.members().contains(replacement.member));
        assertTrue(leader.replica.members().contains(remaining.member));
    }
}
