package gingerspool.simulation;

import static gingerspool.simulation.FaultKind.CORE_CUT;
import static gingerspool.simulation.FaultKind.CORE_CUT_LEADER;
import static gingerspool.simulation.FaultKind.DISK_SLOW;
import static gingerspool.simulation.FaultKind.GARBLED_SNAPSHOTS;
import static gingerspool.simulation.FaultKind.HERD_KILL;
import static gingerspool.simulation.FaultKind.LATE_MESSAGES;
import static gingerspool.simulation.FaultKind.LINK_CUT;
import static gingerspool.simulation.FaultKind.NODE_KILL;
import static gingerspool.simulation.FaultKind.PARTITION;
import static gingerspool.simulation.FaultKind.REPLACE_CORE_PLANNED;
import static gingerspool.simulation.FaultKind.WIPE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import gingerspool.consensus.ConsensusSafeguard;
import gingerspool.simulation.SmallCluster.Scripted;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** With a safeguard taken out some history goes wrong; the table of what each one is printed. */
public class SafeguardTableTest {
    private static final int SEEDS = 400;

    /** In bytes; so small that each applied command makes a snapshot. */
    private static final int SNAPSHOT_FLOOR = 1;

    /** Without this guard logs grow without end, so histories take long. */
    private static final int FEW_SEEDS = 4;

    private static final FaultKind[] ANY = {};
    private static final FaultKind[] LINKS = {LINK_CUT, NODE_KILL, LATE_MESSAGES};
    private static final FaultKind[] RESTARTS = {
        DISK_SLOW, HERD_KILL, NODE_KILL, LATE_MESSAGES, CORE_CUT_LEADER
    };
    private static final FaultKind[] PARTITIONS = {PARTITION, REPLACE_CORE_PLANNED, LATE_MESSAGES};
    private static final FaultKind[] SNAPSHOTS = {GARBLED_SNAPSHOTS, NODE_KILL, CORE_CUT, WIPE};

    /** Safeguards whose absence no history here has shown; docs/control.md says of each why. */
    private static final Set<ConsensusSafeguard> NOT_SHOWN =
            EnumSet.of(
                    ConsensusSafeguard.PRE_VOTE,
                    ConsensusSafeguard.VOTE_DURABLE_BEFORE_REPLY,
                    ConsensusSafeguard.VOTE_WITHHELD_DURING_LEASE,
                    ConsensusSafeguard.LEASE_COUNTS_DURABLE_VOTES,
                    ConsensusSafeguard.COMMIT_ONLY_OWN_TERM,
                    ConsensusSafeguard.MORE_COPIES_THAN_LOSSES,
                    ConsensusSafeguard.MEMBERSHIP_CHANGE_AFTER_OWN_TERM,
                    ConsensusSafeguard.LEARNER_CAUGHT_UP_BEFORE_VOTING,
                    ConsensusSafeguard.REMOVAL_ONLY_BY_COMMITTED_CHANGE,
                    ConsensusSafeguard.STEP_DOWN_WITHOUT_LEASE);

    private final List<String> table = new ArrayList<>();

    @DataProvider
    Object[][] finders() {
        return new Object[][] {
            {ConsensusSafeguard.ONE_VOTE_PER_TERM, 3, 1, LINKS, SEEDS},
            {ConsensusSafeguard.LEASE_WAITED_OUT_AFTER_RESTART, 5, 2, RESTARTS, SEEDS},
            {ConsensusSafeguard.LEASE_TRUSTED_IN_PART, 3, 1, ANY, SEEDS},
            {ConsensusSafeguard.VOTE_ONLY_FOR_UP_TO_DATE_LOG, 3, 1, ANY, SEEDS},
            {ConsensusSafeguard.SERVE_AFTER_OWN_TERM_COMMITTED, 3, 1, ANY, SEEDS},
            {ConsensusSafeguard.OLD_TERMS_REFUSED, 3, 1, ANY, SEEDS},
            {ConsensusSafeguard.SYNC_BEFORE_ACKNOWLEDGE, 3, 1, ANY, SEEDS},
            {ConsensusSafeguard.ACKNOWLEDGE_MATCHED_PREFIX, 3, 1, ANY, SEEDS},
            {ConsensusSafeguard.TRUNCATION_RESETS_DURABLE, 3, 1, RESTARTS, SEEDS},
            {ConsensusSafeguard.TRUNCATE_ONLY_ON_CONFLICT, 3, 1, PARTITIONS, FEW_SEEDS},
            {ConsensusSafeguard.NEW_ID_AFTER_WIPE, 3, 1, ANY, SEEDS},
            {ConsensusSafeguard.ONE_MEMBERSHIP_CHANGE_AT_A_TIME, 3, 1, PARTITIONS, SEEDS},
            {ConsensusSafeguard.JOINT_QUORUM, 3, 1, PARTITIONS, SEEDS},
            {ConsensusSafeguard.SNAPSHOT_ONLY_FORWARD, 5, 2, ANY, SEEDS},
            {ConsensusSafeguard.SNAPSHOT_DIGEST_CHECKED, 3, 1, SNAPSHOTS, SEEDS},
            {ConsensusSafeguard.SNAPSHOT_KEEPS_MATCHING_LOG, 5, 2, RESTARTS, SEEDS},
        };
    }

    @Test(dataProvider = "finders")
    public void goesWrongWithout(
            ConsensusSafeguard safeguard,
            int machines,
            int tolerated,
            FaultKind[] focus,
            int seeds) {
        SimulationSetup setup = SimulationSetup.of(machines, tolerated).focusedOn(focus);
        String found = ConsensusSimulationTest.found(seeds, setup.without(safeguard));
        String faults = focus.length == 0 ? "all" : List.of(focus).toString();
        table.add(
                String.format(
                        "| %s | %d/%d, faults %s | %s |",
                        safeguard, machines, tolerated, faults, found));
        assertNotNull(found, safeguard + " is not needed, or the checks don't see it");
    }

    /** The same troubles do no harm with all safeguards. */
    @Test(dataProvider = "finders")
    public void nothingGoesWrongWithIt(
            ConsensusSafeguard safeguard,
            int machines,
            int tolerated,
            FaultKind[] focus,
            int seeds) {
        SimulationSetup setup = SimulationSetup.of(machines, tolerated).focusedOn(focus);
        assertNull(ConsensusSimulationTest.found(FEW_SEEDS * 25, setup));
    }

    /** Another voter is lost as soon as the one that left has stopped: two of three go on. */
    @Test
    public void leaverStaysUntilSwapped() {
        ConsensusSafeguard safeguard = ConsensusSafeguard.LEAVER_STAYS_UNTIL_REPLACED;
        assertNull(lossAfterLeaver(Set.of()).wrong());
        SmallModelSearch.Result without = lossAfterLeaver(Set.of(safeguard));
        table.add(String.format("| %s | search 3/1 | %s |", safeguard, without.wrong()));
        assertNotNull(without.wrong());
    }

    private static SmallModelSearch.Result lossAfterLeaver(Set<ConsensusSafeguard> disabled) {
        List<Scripted> script =
                List.of(
                        Scripted.CHANGE,
                        Scripted.PLANNED_FOLLOWER,
                        Scripted.WIPE_AFTER_LEAVER,
                        Scripted.CHANGE);
        return SmallModelSearch.search(
                new SmallModelSearch.Bound(3, 1, 1, script, SNAPSHOT_FLOOR, 0, 0, disabled));
    }

    /** Each safeguard is in the table, or named as not shown. */
    @Test
    public void namesAllSafeguards() {
        Set<ConsensusSafeguard> named = EnumSet.copyOf(NOT_SHOWN);
        for (Object[] finder : finders()) {
            named.add((ConsensusSafeguard) finder[0]);
        }
        named.add(ConsensusSafeguard.LEAVER_STAYS_UNTIL_REPLACED);
        assertEquals(named, EnumSet.allOf(ConsensusSafeguard.class));
    }

    @AfterClass
    void print() {
        System.out.println("| Safeguard | Histories (members/losses) | Seed and what broke |");
        table.forEach(System.out::println);
    }
}
