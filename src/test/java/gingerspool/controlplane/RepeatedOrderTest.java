package gingerspool.controlplane;

import static gingerspool.controlplane.CoreModel.whole;
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
public class RepeatedOrderTest {
    private static final long SEEDS = 20;

    @DataProvider
    Object[][] seeds() {
        Object[][] all = new Object[(int) SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            all[i] = new Object[] {(long) i};
        }
        return all;
    }

    private static void assertTaken(Answer answer, long version) {
        assertEquals(answer.status, 200, answer.body);
        assertEquals(answer.body, "{\"Version\":" + version + "}");
    }

    @Test(dataProvider = "seeds")
    public void aRepeatWhileTheFirstIsUnderWayIsTakenOnce(long seed) {
        CoreModel core = new CoreModel(seed);
        Node leader = core.awaitLeader();
        Answer first = leader.change(true, 0, whole(5, "a"));
        Answer again = leader.change(true, 0, whole(5, "a"));
        Answer next = leader.change(true, 5, whole(9, "b"));
        Answer late = leader.change(true, 0, whole(5, "a"));
        core.loop.run(100);
        assertTaken(first, 5);
        assertTaken(again, 5);
        assertTaken(next, 9);
        assertTaken(late, 5);
    }

    @Test(dataProvider = "seeds")
    public void oneOfManyUnderOneNumberIsTakenWhereverTheyAsk(long seed) {
        CoreModel core = new CoreModel(seed);
        core.awaitLeader();
        List<Answer> answers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Node node = core.nodes.get((int) (i + seed) % 3);
            answers.add(node.change(true, 0, whole(5, "operator " + i)));
        }
        core.loop.run(900);
        answers.forEach(a -> assertNotEquals(a.status, 0));
        assertEquals(answers.stream().filter(a -> a.status == 200).count(), 1);
        assertTrue(answers.stream().allMatch(a -> List.of(200, 307, 412).contains(a.status)));
    }

    /** It is only in the old leader's log, which nobody else has. */
    @Test(dataProvider = "seeds")
    public void aRepeatWhileTheFirstIsInACutOffLeadersLog(long seed) {
        CoreModel core = new CoreModel(seed);
        assertTaken(core.until(true, 0, whole(2, "before")), 2);
        Node old = core.awaitLeader();
        core.cut(old);
        Answer first = old.change(true, 2, whole(5, "a"));
        Node next = core.awaitLeader(core.others(old));
        Answer again = next.change(true, 2, whole(5, "a"));
        Answer rival = next.change(true, 2, whole(5, "rival"));
        core.loop.run(100);
        assertTaken(again, 5);
        assertEquals(rival.status, 412);
        core.cuts.clear();
        core.loop.run(3_000);
        assertEquals(first.status, 503, "it can't know");
        assertEquals(old.state.items(), next.state.items());
        assertTaken(core.until(true, 2, whole(5, "a")), 5);
    }

    /** The leader falls once one follower has the command, and before anybody was told. */
    @Test(dataProvider = "seeds")
    public void whatAFallenLeaderLeftInAnothersLogIsNotRefusedToItsRepeat(long seed) {
        CoreModel core = new CoreModel(seed);
        assertTaken(core.until(true, 0, whole(2, "before")), 2);
        Node old = core.awaitLeader();
        Node holder = core.others(old).get((int) (seed % 2));
        Node lacking = core.others(old).get((int) (1 - seed % 2));
        core.cuts.add(old.ip + ">" + lacking.ip);
        core.cuts.add(holder.ip + ">" + old.ip);
        Answer first = old.change(true, 2, whole(5, "a"));
        core.loop.run(20);
        old.kill();
        core.cuts.clear();
        Node next = core.awaitLeader(core.others(old));
        assertEquals(next.ip, holder.ip, "only the one with the longer log can be elected");
        Answer again = next.change(true, 2, whole(5, "a"));
        Answer rival = next.change(true, 2, whole(7, "rival"));
        core.loop.run(200);
        assertEquals(first.status, 0, "it was not answered");
        assertTaken(again, 5);
        assertEquals(rival.status, 412);
        old.start();
        core.loop.run(3_000);
        assertEquals(old.state.items(), next.state.items());
    }

    @Test(dataProvider = "seeds")
    public void aRepeatIsKnownAfterASnapshotWasInstalledAndAfterARestartOfAll(long seed) {
        CoreModel core = new CoreModel(seed);
        Node away = core.others(core.awaitLeader()).get(0);
        away.kill();
        for (int version = 1; version <= 150; version++) {
            assertTaken(core.until(true, version - 1, whole(version, "v")), version);
        }
        away.start();
        core.loop.run(2_000);
        assertTrue(away.restored > 0, "no snapshot was installed");
        core.others(away).get(0).kill();
        core.awaitLeader();
        core.others(away).get(0).start();
        for (int version = 1; version <= 150; version += 29) {
            assertTaken(core.until(true, version - 1, whole(version, "v")), version);
        }
        core.nodes.forEach(Node::kill);
        core.loop.run(50);
        core.nodes.forEach(Node::start);
        for (int version = 1; version <= 150; version += 29) {
            assertTaken(core.until(true, version - 1, whole(version, "v")), version);
        }
        assertEquals(core.until(true, 3, whole(150, "other")).status, 412);
    }
}
