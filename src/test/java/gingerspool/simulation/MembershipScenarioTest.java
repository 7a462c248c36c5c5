package gingerspool.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.simulation.ConsensusSimulation.Machine;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Histories of replaced members, told in advance; orders go on all the while, eight at once. */
public class MembershipScenarioTest {
    private static final int SEEDS = 100;
    private static final SimulationSetup THREE = SimulationSetup.of(3, 1);
    private static final SimulationSetup FIVE = SimulationSetup.of(5, 2);

    private static void neverWrong(SimulationSetup setup, Consumer<Scenario> script) {
        List<String> wrong =
                LongStream.rangeClosed(1, SEEDS)
                        .parallel()
                        .mapToObj(seed -> wrong(seed, setup, script))
                        .filter(Objects::nonNull)
                        .limit(3)
                        .toList();
        assertEquals(String.join("; ", wrong), "");
    }

    private static String wrong(long seed, SimulationSetup setup, Consumer<Scenario> script) {
        ConsensusSimulation cluster = new ConsensusSimulation(seed, setup);
        ScriptedFaults faults = new ScriptedFaults(cluster);
        script.accept(new Scenario(cluster, faults, seed % 2 == 0));
        String wrong = cluster.with(faults).play();
        return wrong == null ? null : "seed " + seed + ": " + wrong;
    }

    /** One history; odd seeds hit followers, even ones the leader. */
    private record Scenario(ConsensusSimulation cluster, ScriptedFaults faults, boolean leader) {
        Machine victim() {
            List<Machine> voters = faults.voters();
            return voters.get(leader ? 0 : voters.size() - 1);
        }

        /** The new machine comes; it has its time to catch up, and the old one gets SIGTERM. */
        void replacePlanned(double at, Runnable then) {
            faults.at(at, cluster::addEmpty);
            faults.at(
                    at + PermittedLosses.CATCH_UP,
                    () -> {
                        Machine old = victim();
                        faults.terminate(
                                old,
                                3000,
                                () -> {
                                    faults.remove(old);
                                    then.run();
                                });
                    });
        }
    }

    /**
     * As seen on the bench: five members, two losses tolerated; a planned replacement, a disk lost
     * right after an acknowledgement, two members cut off, the leader among them, and in the end
     * two disks lost, all others without power.
     */
    @Test
    public void theCoreComesBackAfterTheDayThatWasSeen() {
        neverWrong(
                FIVE.lasting(47_000),
                s -> {
                    s.replacePlanned(4000, () -> {});
                    s.faults.afterAcknowledgement(
                            17_000, () -> s.faults.restart(s.victim(), 700, true));
                    s.faults.at(30_000, () -> s.faults.cut(s.faults.voters().subList(0, 2), 8000));
                    s.faults.afterAcknowledgement(45_000, () -> s.faults.closingWipe(2, s.leader));
                });
    }

    @Test
    public void aLossRightAfterAPlannedReplacement() {
        neverWrong(THREE, s -> s.replacePlanned(5000, () -> s.faults.closingWipe(1, s.leader)));
    }

    @Test
    public void twoReplacedAndThenTwoLost() {
        neverWrong(
                FIVE,
                s -> {
                    s.replacePlanned(5000, () -> {});
                    s.replacePlanned(6000, () -> s.faults.closingWipe(2, s.leader));
                });
    }

    @Test
    public void oneWipedAndAnotherReplacedAtOnce() {
        neverWrong(
                FIVE,
                s -> {
                    s.faults.at(5000, () -> s.faults.restart(s.victim(), 800, true));
                    s.faults.at(
                            5000,
                            () -> {
                                s.faults.remove(s.victim());
                                s.cluster.after(1000, s.cluster::addEmpty);
                            });
                    s.faults.at(
                            6000 + PermittedLosses.CATCH_UP,
                            () -> s.faults.closingWipe(2, s.leader));
                });
    }

    @Test
    public void theNewcomerIsLostInTheMiddleAndAnotherComes() {
        neverWrong(
                THREE,
                s -> {
                    s.faults.at(
                            5000,
                            () -> {
                                Machine newcomer = s.cluster.addEmpty();
                                s.cluster.after(
                                        s.cluster.chance.nextInt(60),
                                        () -> s.faults.remove(newcomer));
                                s.cluster.addEmpty();
                                s.faults.remove(s.victim());
                            });
                    s.faults.at(
                            5000 + PermittedLosses.CATCH_UP,
                            () -> s.faults.closingWipe(1, s.leader));
                });
    }

    @Test
    public void theLeaverComesBackWhileItsRemovalIsUnderWay() {
        neverWrong(
                THREE,
                s -> {
                    s.faults.at(5000, s.cluster::addEmpty);
                    s.faults.at(
                            9000,
                            () -> {
                                Machine old = s.victim();
                                old.enter(() -> old.replica.leave(old.clock()));
                                s.cluster.after(
                                        s.cluster.chance.nextInt(60),
                                        () -> s.faults.restart(old, 30, false));
                            });
                    s.faults.at(14_000, () -> s.faults.closingWipe(1, s.leader));
                });
    }

    /** With nobody to replace it a leaver hands over and may stop soon; with one, once replaced. */
    @Test
    public void aLeaverMayStopWithinHalfOfTheGracePeriod() {
        for (boolean spare : new boolean[] {true, false}) {
            for (long seed = 1; seed <= SEEDS; seed++) {
                ConsensusSimulation cluster = new ConsensusSimulation(seed, THREE);
                ScriptedFaults faults = new ScriptedFaults(cluster);
                double[] took = {Double.NaN};
                if (spare) {
                    faults.at(5000, cluster::addEmpty);
                }
                faults.at(
                        9000,
                        () -> {
                            Machine old = faults.voters().get(0);
                            faults.terminate(
                                    old,
                                    10_000,
                                    () -> {
                                        took[0] = cluster.now - 9000;
                                        assertEquals(old.replica.isLearner(), spare);
                                        faults.restart(old, 100, false);
                                    });
                        });
                assertEquals(cluster.with(faults).play(), null, "seed " + seed);
                assertTrue(took[0] < 3000, "seed " + seed + ": " + took[0] + " ms");
            }
        }
    }
}
