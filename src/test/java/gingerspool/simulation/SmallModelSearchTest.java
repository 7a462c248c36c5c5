package gingerspool.simulation;

import static org.testng.Assert.assertNull;

import gingerspool.simulation.SmallCluster.Scripted;
import gingerspool.simulation.SmallModelSearch.Bound;
import gingerspool.simulation.SmallModelSearch.Result;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** All schedules of small cores within a bound; -Ddeviations=N makes the bound larger. */
public class SmallModelSearchTest {
    private static final int DEVIATIONS = Integer.getInteger("deviations", 2);
    private static final int MENDINGS = 1;

    /** In bytes; so small that each applied command makes a snapshot. */
    private static final int SNAPSHOT_FLOOR = 1;

    @DataProvider
    Object[][] scripts() {
        return new Object[][] {
            {List.of(Scripted.CHANGE, Scripted.CHANGE), DEVIATIONS},
            {List.of(Scripted.CHANGE, Scripted.CUT_LEADER, Scripted.CHANGE), DEVIATIONS},
            {List.of(Scripted.CHANGE, Scripted.REPLACE_FOLLOWER, Scripted.CHANGE), DEVIATIONS - 1},
            {List.of(Scripted.CHANGE, Scripted.REPLACE_LEADER, Scripted.CHANGE), DEVIATIONS - 1},
            {List.of(Scripted.CHANGE, Scripted.PLANNED_FOLLOWER, Scripted.CHANGE), DEVIATIONS - 1},
            {List.of(Scripted.CHANGE, Scripted.PLANNED_LEADER, Scripted.CHANGE), DEVIATIONS - 1},
            {
                List.of(Scripted.CHANGE, Scripted.REPLACE_FOLLOWER, Scripted.REPLACE_LEADER),
                DEVIATIONS - 1
            },
            {List.of(Scripted.CHANGE, Scripted.WIPE_FOLLOWER, Scripted.CHANGE), DEVIATIONS - 1},
            {List.of(Scripted.CHANGE, Scripted.RESTART_ALL, Scripted.CHANGE), DEVIATIONS},
        };
    }

    @Test(dataProvider = "scripts")
    public void noScheduleGoesWrong(List<Scripted> script, int deviations) {
        Result result =
                SmallModelSearch.search(new Bound(3, 1, 1, script, SNAPSHOT_FLOOR, deviations, MENDINGS, Set.of()));
        System.out.printf(
                "3 members %s, %d deviations and %d mendings at most: %d schedules, %d states,"
                        + " %.1f s%n",
                script,
                deviations,
                MENDINGS,
                result.schedules(),
                result.states(),
                result.seconds());
        assertNull(result.wrong(), result.schedule());
    }
}
