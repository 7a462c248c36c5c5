package gingerspool.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import gingerspool.peers.DecisionTrace;
import java.nio.BufferUnderflowException;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Histories of the core, by seed: nothing acknowledged is lost, one winner, one leader, refused
 * never in force.
 */
public class ConsensusSimulationTest {
    private static final int HISTORIES = Integer.getInteger("histories", 2000);
    private static final int REAL_HISTORIES = Math.max(100, HISTORIES / 20);
    private static final LongAdder CALLS = new LongAdder();
    private static final LongAdder ORDERS = new LongAdder();
    private static final int CLOCK_STEP_HISTORIES = 400;
    private static final double LONG = 120_000;

    @DataProvider
    Object[][] setups() {
        return new Object[][] {
            {"3 members, 1 loss", SimulationSetup.of(3, 1), HISTORIES},
            {"5 members, 2 losses", SimulationSetup.of(5, 2), HISTORIES},
            {
                "real configuration state",
                SimulationSetup.of(3, 1).withRealConfiguration(),
                REAL_HISTORIES
            },
            {"two minutes", SimulationSetup.of(3, 1).lasting(LONG), REAL_HISTORIES},
        };
    }

    /** What replicas send to each other is what was recorded, to the bit. */
    @Test
    public void messagesAreThoseRecorded() {
        Map<String, String> found = new TreeMap<>();
        for (long seed = 1; seed <= 8; seed++) {
            for (int members : new int[] {3, 5}) {
                ConsensusSimulation history =
                        new ConsensusSimulation(seed, SimulationSetup.of(members, members / 2));
                DecisionTrace trace = history.traced();
                history.play();
                found.put(members + " members " + seed, trace.end());
            }
        }
        assertEquals(found, DecisionTrace.recorded("consensus", found));
    }

    /** No history goes wrong; the count and the time are printed. */
    @Test(dataProvider = "setups")
    public void histories(String name, SimulationSetup setup, int histories) {
        CALLS.reset();
        ORDERS.reset();
        long begin = System.nanoTime();
        String found = found(histories, setup);
        double seconds = (System.nanoTime() - begin) / 1e9;
        System.out.printf(
                "%s: %d histories in %.1f s, %d calls answered, %d orders acknowledged%n",
                name, histories, seconds, CALLS.sumThenReset(), ORDERS.sumThenReset());
        assertNull(found, name);
    }

    /**
     * Leases rest on steady clocks: with clocks that are stepped some history goes wrong, so the
     * checker sees what a lease by the time of day would do.
     */
    @Test
    public void clockStepsBreakTheLease() {
        SimulationSetup setup = SimulationSetup.of(3, 1).withClockSteps();
        assertNotNull(found(CLOCK_STEP_HISTORIES, setup));
    }

    /** The first history in which something is wrong, and what, or null. */
    static String found(int histories, SimulationSetup setup) {
        return LongStream.rangeClosed(1, histories)
                .parallel()
                .mapToObj(
                        seed -> {
                            ConsensusSimulation history = new ConsensusSimulation(seed, setup);
                            String wrong = played(history);
                            CALLS.add(history.operators.callsAnswered());
                            ORDERS.add(history.operators.ordersAcknowledged());
                            return wrong == null ? null : "seed " + seed + ": " + wrong;
                        })
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    /** An exception of a replica is a fault like any other. */
    private static String played(ConsensusSimulation history) {
        try {
            return history.play();
        } catch (IndexOutOfBoundsException | BufferUnderflowException e) {
            return e.toString();
        }
    }
}
