package gingerspool.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import gingerspool.peers.DecisionTrace;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Histories of slots and starts, by seed: none given twice, none lost, nobody waits, nothing idles
 * on.
 */
public class SlotSimulationTest {
    private static final int HISTORIES = Integer.getInteger("histories", 400);
    private static final double SPAN = 40_000;

    private static String found(int histories, SlotSimulation.Without without) {
        return LongStream.rangeClosed(1, histories)
                .parallel()
                .mapToObj(
                        seed -> {
                            String wrong = new SlotSimulation(seed, without).play(SPAN);
                            return wrong == null ? null : "seed " + seed + ": " + wrong;
                        })
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    /** What the keeper and the scaler decide is what was recorded, to the bit. */
    @Test
    public void decisionsAreThoseRecorded() {
        Map<String, String> found = new TreeMap<>();
        for (long seed = 1; seed <= 12; seed++) {
            SlotSimulation history = new SlotSimulation(seed, SlotSimulation.Without.NOTHING);
            DecisionTrace trace = history.traced();
            history.play(SPAN);
            found.put("seed " + seed, trace.end());
        }
        assertEquals(found, DecisionTrace.recorded("slots", found));
    }

    @Test
    public void histories() {
        assertNull(found(HISTORIES, SlotSimulation.Without.NOTHING));
    }

    /** A slot that came back before the new leader had read the list was held for ever. */
    @Test
    public void aLostWordOfASlotIsFoundByTheChecker() {
        assertNotNull(found(HISTORIES, SlotSimulation.Without.EARLY_BACKS_AND_HOLDS));
    }

    @Test
    public void whatIsHeldIsToldNowAndThenAndMendsTheKeeper() {
        assertNull(found(HISTORIES, SlotSimulation.Without.EARLY_BACKS));
    }
}
