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

/** Members cut off, on one side or both: who leads, and for how long. */
public class LinkFaultTest {
    private static final double LEASE = TestCluster.LEASE;

    private static boolean from(ConsensusMessage.Envelope e, Node node) {
        return e.from().ip().equals(node.member.ip());
    }

    private static boolean to(ConsensusMessage.Envelope e, Node node) {
        return e.to().ip().equals(node.member.ip());
    }

    private static Node follower(TestCluster cluster) {
        return cluster.nodes.values().stream().filter(n -> !n.leads()).findFirst().orElseThrow();
    }

    /** Plays a cut; fails if two lead at once; how long nobody led at the longest. */
    private static double longestWithoutLeader(
            TestCluster cluster, double span, Predicate<ConsensusMessage.Envelope> arrives) {
        cluster.arrives = arrives;
        double longest = 0;
        double without = 0;
        for (double t = 0; t < span; t++) {
            cluster.run(1);
            long leaders = cluster.nodes.values().stream().filter(Node::leads).count();
            assertTrue(leaders <= 1, "two leaders");
            without = leaders == 0 ? without + 1 : 0;
            longest = Math.max(longest, without);
        }
        cluster.arrives = e -> true;
        return longest;
    }

    /** The old leader serves no more before another does; back, it follows and has the state. */
    @Test
    public void aLeaderCutOffStopsServingAndFollowsWhenItIsBack() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 1);
        Node old = cluster.awaitLeader();
        cluster.change(5, 50);
        double without = longestWithoutLeader(cluster, 20_000, e -> !from(e, old) && !to(e, old));
        assertTrue(without < 2.5 * LEASE, without + " ms");
        assertFalse(old.leads());
        assertNull(old.replica.leader(cluster.now), "it sends nobody to itself");
        Node next = cluster.leader();
        long term = next.replica.term();
        cluster.change(5, 50);
        cluster.runUntil(2 * LEASE, TestCluster::agrees);
        assertEquals(cluster.leader(), next, "what comes back disturbs nobody");
        assertEquals(next.replica.term(), term);
    }

    /**
     * A leader that is heard and hears nobody: its heartbeats would keep others from an election;
     * so it steps down by itself. Without the guard nobody ever leads.
     */
    @Test
    public void aLeaderThatHearsNobodyStepsDown() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 2);
        Node deaf = cluster.awaitLeader();
        double without = longestWithoutLeader(cluster, 10_000, e -> !to(e, deaf));
        assertTrue(without < 5 * LEASE, without + " ms");
        TestCluster bare =
                new TestCluster(3, 1 << 20, 1000, 2, ConsensusSafeguard.STEP_DOWN_WITHOUT_LEASE);
        Node stays = bare.awaitLeader();
        assertTrue(longestWithoutLeader(bare, 10_000, e -> !to(e, stays)) > 9000);
    }

    /** A leader that hears and is not heard. */
    @Test
    public void aLeaderThatNobodyHearsIsReplaced() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 3);
        Node mute = cluster.awaitLeader();
        double without = longestWithoutLeader(cluster, 10_000, e -> !from(e, mute));
        assertTrue(without < 2.5 * LEASE, without + " ms");
        cluster.runUntil(2 * LEASE, TestCluster::agrees);
    }

    /** A follower that hears nobody asks for votes, raises no term, and disturbs no leader. */
    @Test
    public void aFollowerThatHearsNobodyDisturbsNobody() {
        assertEquals(termsRaisedBy(), 0);
        assertNotEquals(termsRaisedBy(ConsensusSafeguard.PRE_VOTE), 0);
    }

    private static long termsRaisedBy(ConsensusSafeguard... out) {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 4, out);
        Node leader = cluster.awaitLeader();
        long term = leader.replica.term();
        Node deaf = follower(cluster);
        longestWithoutLeader(cluster, 10_000, e -> !to(e, deaf));
        cluster.run(3 * LEASE);
        return cluster.awaitLeader().replica.term() - term;
    }

    /** A follower that is not heard counts for no lease: two such, and the leader steps down. */
    @Test
    public void followersThatAreNotHeardHoldUpNoLease() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 5);
        Node leader = cluster.awaitLeader();
        cluster.arrives = e -> from(e, leader);
        cluster.run(3 * LEASE);
        assertFalse(leader.leads());
        assertNull(leader.replica.leader(cluster.now));
        cluster.arrives = e -> true;
        cluster.awaitLeader();
    }

    /** A member that one of the others hears, and the other does not. */
    @Test
    public void aMemberThatOneSideHearsChangesNothing() {
        TestCluster cluster = new TestCluster(3, 1 << 20, 1000, 6);
        Node leader = cluster.awaitLeader();
        Node half = follower(cluster);
        assertEquals(
                longestWithoutLeader(cluster, 10_000, e -> !(from(e, half) && to(e, leader))), 0.0);
        assertEquals(
                longestWithoutLeader(cluster, 10_000, e -> !(from(e, leader) && to(e, half))), 0.0);
        assertEquals(cluster.leader(), leader);
    }

    /** A machine that lost its disk and knows one member, which does not lead, is brought up. */
    @Test
    public void aLearnerFindsTheLeaderThroughAnyMember() {
        TestCluster cluster = new TestCluster(3, 500, 100, 7);
        Node leader = cluster.awaitLeader();
        cluster.change(20, 50);
        Node gone = cluster.nodes.values().stream().filter(n -> n != leader).toList().get(1);
        Node kept = follower(cluster);
        gone.stop(0);
        boolean[] referred = {false};
        Node anew = cluster.add(new Member(gone.member.ip(), "new"));
        cluster.arrives =
                e ->
                        !(e.message() instanceof ConsensusMessage.JoinRequest)
                                || !to(e, leader)
                                || referred[0];
        cluster.onItsWay =
                e -> {
                    referred[0] |= e.message() instanceof ConsensusMessage.Referral;
                    return e;
                };
        anew.start(List.of());
        cluster.runUntil(
                4 * LEASE, c -> !leader.replica.members().contains(gone.member) && c.agrees());
        assertTrue(referred[0]);
        assertTrue(leader.replica.members().contains(anew.member));
        assertTrue(leader.replica.members().contains(kept.member));
    }
}
