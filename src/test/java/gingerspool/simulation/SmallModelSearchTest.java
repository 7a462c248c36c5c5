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
    private static final int MENDINGS = Integer.getInteger("mendings", 0);
    private static final Scripted CHANGE = Scripted.CHANGE;

    /** In bytes; so small that each applied command makes a snapshot. */
    private static final int SNAPSHOT_FLOOR = 1;

    @DataProvider
    Object[][] scripts() {
        int less = DEVIATIONS - 1;
        int more = MENDINGS + 1;
        return new Object[][] {
            {3, List.of(CHANGE, CHANGE), DEVIATIONS, MENDINGS},
            {3, List.of(CHANGE, Scripted.CUT_LEADER, CHANGE), DEVIATIONS, MENDINGS},
            {3, List.of(CHANGE, Scripted.RESTART_ALL, CHANGE), DEVIATIONS, MENDINGS},
            {3, List.of(CHANGE, Scripted.REPLACE_FOLLOWER, CHANGE), less, more},
            {3, List.of(CHANGE, Scripted.REPLACE_LEADER, CHANGE), less, more},
            {3, List.of(CHANGE, Scripted.PLANNED_FOLLOWER, CHANGE), less, more},
            {3, List.of(CHANGE, Scripted.PLANNED_LEADER, CHANGE), less, more},
            {3, List.of(CHANGE, Scripted.WIPE_FOLLOWER, CHANGE), less, more},
            {3, List.of(CHANGE, Scripted.REPLACE_FOLLOWER, Scripted.REPLACE_LEADER), less, more},
            {3, List.of(CHANGE, Scripted.PLANNED_LEADER, Scripted.REPLACE_LEADER), less, more},
            {5, List.of(CHANGE, Scripted.REPLACE_FOLLOWER, Scripted.WIPE_FOLLOWER), less, more},
            {5, List.of(CHANGE, Scripted.PLANNED_LEADER, Scripted.REPLACE_LEADER), less, more},
        };
    }

    @Test(dataProvider = "scripts")
    public void noScheduleGoesWrong(
            int machines, List<Scripted> script, int deviations, int mendings) {
        Result result =
                SmallModelSearch.search(
                        new Bound(
                                machines,
                                machines / 2,
                                1,
                                script,
                                SNAPSHOT_FLOOR,
                                deviations,
                                mendings,
                                Set.of()));
        System.out.printf(
                "%d members %s, at most %d deviations and %d mendings: %d schedules, %d states,"
                        + " %.1f s%n",
                machines,
                script,
                deviations,
                mendings,
                result.schedules(),
                result.states(),
                result.seconds());
        assertNull(result.wrong(), result.schedule());
    }
}
