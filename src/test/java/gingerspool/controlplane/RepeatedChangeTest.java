package gingerspool.controlplane;

import static gingerspool.controlplane.CoreModel.completeConfiguration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.CoreModel.Answer;
import gingerspool.controlplane.CoreModel.Node;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Orders that are sent again, and several under one number, over the real replica, in memory. */
public class RepeatedChangeTest {
    private static final long SEEDS = 20;

    @DataProvider
    Object[][] seeds() {
        Object[][] all = new Object[(int) SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            all[i] = new Object[] {(long) i};
        }
        return all;
    }

    private static void assertAccepted(Answer answer, long version) {
        assertEquals(answer.status, 200, answer.body);
        assertEquals(answer.body, "{\"Version\":" + version + "}");
    }

    @Test(dataProvider = "seeds")
    public void repeatOfPendingChangeIsAppliedOnce(long seed) {
        CoreModel core = new CoreModel(seed);
        Node leader = core.awaitLeader();
        Answer first = leader.change(true, 0, completeConfiguration(5, "a"));
        Answer again = leader.change(true, 0, completeConfiguration(5, "a"));
        Answer next = leader.change(true, 5, completeConfiguration(9, "b"));
        Answer late = leader.change(true, 0, completeConfiguration(5, "a"));
        core.loop.run(100);
        assertAccepted(first, 5);
        assertAccepted(again, 5);
        assertAccepted(next, 9);
        assertAccepted(late, 5);
    }

    @Test(dataProvider = "seeds")
    public void onlyOneOfSeveralWithSameVersionIsAccepted(long seed) {
        CoreModel core = new CoreModel(seed);
        core.awaitLeader();
        List<Answer> answers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Node node = core.nodes.get((int) (i + seed) % 3);
            answers.add(node.change(true, 0, completeConfiguration(5, "operator " + i)));
        }
        core.loop.run(900);
        answers.forEach(a -> assertNotEquals(a.status, 0));
        assertEquals(answers.stream().filter(a -> a.status == 200).count(), 1);
        assertTrue(answers.stream().allMatch(a -> List.of(200, 307, 412).contains(a.status)));
    }

    /** It is only in the old leader's log, which nobody else has. */
    @Test(dataProvider = "seeds")
    public void repeatIsAcceptedAfterFirstReachedPartitionedLeaderOnly(long seed) {
        CoreModel core = new CoreModel(seed);
        assertAccepted(core.changeUntilDecided(true, 0, completeConfiguration(2, "before")), 2);
        Node old = core.awaitLeader();
        core.isolate(old);
        Answer first = old.change(true, 2, completeConfiguration(5, "a"));
        Node next = core.awaitLeader(core.others(old));
        Answer again = next.change(true, 2, completeConfiguration(5, "a"));
        Answer rival = next.change(true, 2, completeConfiguration(5, "rival"));
        core.loop.run(100);
        assertAccepted(again, 5);
        assertEquals(rival.status, 412);
        core.cutLinks.clear();
        core.loop.run(3_000);
        assertEquals(first.status, 503, "it can't know");
        assertEquals(old.state.items(), next.state.items());
        assertAccepted(core.changeUntilDecided(true, 2, completeConfiguration(5, "a")), 5);
    }

    /** The leader falls once one follower has the command, and before anybody was told. */
    @Test(dataProvider = "seeds")
    public void repeatOfChangeLeftByFailedLeaderIsAccepted(long seed) {
        CoreModel core = new CoreModel(seed);
        assertAccepted(core.changeUntilDecided(true, 0, completeConfiguration(2, "before")), 2);
        Node old = core.awaitLeader();
        Node holder = core.others(old).get((int) (seed % 2));
        Node lacking = core.others(old).get((int) (1 - seed % 2));
        core.cutLinks.add(old.ip + ">" + lacking.ip);
        core.cutLinks.add(holder.ip + ">" + old.ip);
        Answer first = old.change(true, 2, completeConfiguration(5, "a"));
        core.loop.run(20);
        old.kill();
        core.cutLinks.clear();
        Node next = core.awaitLeader(core.others(old));
        assertEquals(next.ip, holder.ip, "only the one with the longer log can be elected");
        Answer again = next.change(true, 2, completeConfiguration(5, "a"));
        Answer rival = next.change(true, 2, completeConfiguration(7, "rival"));
        core.loop.run(200);
        assertEquals(first.status, 0, "it was not answered");
        assertAccepted(again, 5);
        assertEquals(rival.status, 412);
        old.start();
        core.loop.run(3_000);
        assertEquals(old.state.items(), next.state.items());
    }

    @Test(dataProvider = "seeds")
    public void repeatIsKnownAfterSnapshotAndRestart(long seed) {
        CoreModel core = new CoreModel(seed);
        Node away = core.others(core.awaitLeader()).get(0);
        away.kill();
        for (int version = 1; version <= 150; version++) {
            assertAccepted(
                    core.changeUntilDecided(true, version - 1, completeConfiguration(version, "v")),
                    version);
        }
        away.start();
        core.loop.run(2_000);
        assertTrue(away.restoredSnapshots > 0, "no snapshot was installed");
        core.others(away).get(0).kill();
        core.awaitLeader();
        core.others(away).get(0).start();
        for (int version = 1; version <= 150; version += 29) {
            assertAccepted(
                    core.changeUntilDecided(true, version - 1, completeConfiguration(version, "v")),
                    version);
        }
        core.nodes.forEach(Node::kill);
        core.loop.run(50);
        core.nodes.forEach(Node::start);
        for (int version = 1; version <= 150; version += 29) {
            assertAccepted(
                    core.changeUntilDecided(true, version - 1, completeConfiguration(version, "v")),
                    version);
        }
        assertEquals(
                core.changeUntilDecided(true, 3, completeConfiguration(150, "other")).status, 412);
    }
}
