package gingerspool.controlplane;

import static gingerspool.controlplane.ClusterModel.completeConfiguration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.ClusterModel.Answer;
import gingerspool.controlplane.ClusterModel.Node;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Changes that are sent again, and several changes with the same version, on the real replica in
 * memory.
 */
public class RepeatedChangeTest {
    private static final long SEEDS = 20;

    @DataProvider
    Object[][] seeds() {
        Object[][] seeds = new Object[(int) SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    private static void assertAccepted(Answer answer, long version) {
        assertEquals(answer.status, 200, answer.body);
        assertEquals(answer.body, "{\"Version\":" + version + "}");
    }

    @Test(dataProvider = "seeds")
    public void repeatOfPendingChangeIsAppliedOnce(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        Node leader = cluster.awaitLeader();
        Answer first = leader.change(true, 0, completeConfiguration(5, "a"));
        Answer repeat = leader.change(true, 0, completeConfiguration(5, "a"));
        Answer next = leader.change(true, 5, completeConfiguration(9, "b"));
        Answer lateRepeat = leader.change(true, 0, completeConfiguration(5, "a"));
        cluster.loop.run(100);
        assertAccepted(first, 5);
        assertAccepted(repeat, 5);
        assertAccepted(next, 9);
        assertAccepted(lateRepeat, 5);
    }

    @Test(dataProvider = "seeds")
    public void onlyOneOfSeveralWithSameVersionIsAccepted(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        cluster.awaitLeader();
        List<Answer> answers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Node node = cluster.nodes.get((int) (i + seed) % 3);
            answers.add(node.change(true, 0, completeConfiguration(5, "operator " + i)));
        }
        cluster.loop.run(900);
        answers.forEach(a -> assertNotEquals(a.status, 0));
        assertEquals(answers.stream().filter(a -> a.status == 200).count(), 1);
        assertTrue(answers.stream().allMatch(a -> List.of(200, 307, 412).contains(a.status)));
    }

    /** The change is only in the partitioned leader's log when it is sent again. */
    @Test(dataProvider = "seeds")
    public void repeatIsAcceptedAfterFirstReachedPartitionedLeaderOnly(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        assertAccepted(cluster.changeUntilDecided(true, 0, completeConfiguration(2, "before")), 2);
        Node oldLeader = cluster.awaitLeader();
        cluster.isolate(oldLeader);
        Answer first = oldLeader.change(true, 2, completeConfiguration(5, "a"));
        Node newLeader = cluster.awaitLeader(cluster.others(oldLeader));
        Answer repeat = newLeader.change(true, 2, completeConfiguration(5, "a"));
        Answer rival = newLeader.change(true, 2, completeConfiguration(5, "rival"));
        cluster.loop.run(100);
        assertAccepted(repeat, 5);
        assertEquals(rival.status, 412);
        cluster.cutLinks.clear();
        cluster.loop.run(3_000);
        assertEquals(first.status, 503, "the outcome is unknown to the partitioned leader");
        assertEquals(oldLeader.state.items(), newLeader.state.items());
        assertAccepted(cluster.changeUntilDecided(true, 2, completeConfiguration(5, "a")), 5);
    }

    /**
     * The leader crashes after one follower has received the command and before the change is
     * answered.
     */
    @Test(dataProvider = "seeds")
    public void repeatOfChangeLeftByFailedLeaderIsAccepted(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        assertAccepted(cluster.changeUntilDecided(true, 0, completeConfiguration(2, "before")), 2);
        Node oldLeader = cluster.awaitLeader();
        Node follower = cluster.others(oldLeader).get((int) (seed % 2));
        Node otherFollower = cluster.others(oldLeader).get((int) (1 - seed % 2));
        cluster.cutLinks.add(oldLeader.ip + ">" + otherFollower.ip);
        cluster.cutLinks.add(follower.ip + ">" + oldLeader.ip);
        Answer first = oldLeader.change(true, 2, completeConfiguration(5, "a"));
        cluster.loop.run(20);
        oldLeader.kill();
        cluster.cutLinks.clear();
        Node newLeader = cluster.awaitLeader(cluster.others(oldLeader));
        assertEquals(newLeader.ip, follower.ip, "only the one with the longer log can be elected");
        Answer repeat = newLeader.change(true, 2, completeConfiguration(5, "a"));
        Answer rival = newLeader.change(true, 2, completeConfiguration(7, "rival"));
        cluster.loop.run(200);
        assertEquals(first.status, 0, "answered by a crashed leader");
        assertAccepted(repeat, 5);
        assertEquals(rival.status, 412);
        oldLeader.start();
        cluster.loop.run(3_000);
        assertEquals(oldLeader.state.items(), newLeader.state.items());
    }

    @Test(dataProvider = "seeds")
    public void repeatIsKnownAfterSnapshotAndRestart(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        Node laggard = cluster.others(cluster.awaitLeader()).get(0);
        laggard.kill();
        for (int version = 1; version <= 150; version++) {
            assertAccepted(
                    cluster.changeUntilDecided(
                            true, version - 1, completeConfiguration(version, "v")),
                    version);
        }
        laggard.start();
        cluster.loop.run(2_000);
        assertTrue(laggard.restoredSnapshots > 0, "no snapshot was installed");
        cluster.others(laggard).get(0).kill();
        cluster.awaitLeader();
        cluster.others(laggard).get(0).start();
        for (int version = 1; version <= 150; version += 29) {
            assertAccepted(
                    cluster.changeUntilDecided(
                            true, version - 1, completeConfiguration(version, "v")),
                    version);
        }
        cluster.nodes.forEach(Node::kill);
        cluster.loop.run(50);
        cluster.nodes.forEach(Node::start);
        for (int version = 1; version <= 150; version += 29) {
            assertAccepted(
                    cluster.changeUntilDecided(
                            true, version - 1, completeConfiguration(version, "v")),
                    version);
        }
        assertEquals(
                cluster.changeUntilDecided(true, 3, completeConfiguration(150, "other")).status,
                412);
    }
}
