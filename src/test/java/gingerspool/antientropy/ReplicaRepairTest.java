package gingerspool.antientropy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Copies of one state on several members, damaged on purpose. */
public class ReplicaRepairTest {
    private static final long PLACE = 7;
    private final Map<String, Map<String, String>> copies = new LinkedHashMap<>();
    private final ReplicaRepair mender =
            new ReplicaRepair(
                    new ReplicaRepair.Exchange() {
                        @Override
                        public void ask(String member, long place, int ranges) {
                            take("m0", ranges, copies.get(member));
                        }

                        @Override
                        public void send(String member, long place, int ranges) {
                            take(member, ranges, copies.get("m0"));
                        }
                    });

    private void take(String member, int ranges, Map<String, String> from) {
        copies.put(
                member,
                RangeDigests.replaced(
                        copies.get(member), ranges, RangeDigests.items(from, ranges)));
    }

    private static Map<String, String> state() {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            all.put("L/Routes/" + i, "route " + i);
        }
        return all;
    }

    private void members(int n) {
        copies.clear();
        for (int i = 0; i < n; i++) {
            copies.put("m" + i, state());
        }
    }

    /** Two rounds: a member that compares may first have to mend itself. */
    private void rounds() {
        for (int round = 0; round < 2; round++) {
            copies.forEach((m, copy) -> mender.received(m, PLACE, RangeDigests.digests(copy)));
            mender.compare(
                    "m0",
                    List.copyOf(copies.keySet()),
                    PLACE,
                    RangeDigests.digests(copies.get("m0")));
        }
    }

    private static void damage(Map<String, String> copy, SplittableRandom chance) {
        for (int n = 1 + chance.nextInt(20); n > 0; n--) {
            String key = "L/Routes/" + chance.nextInt(220);
            switch (chance.nextInt(3)) {
                case 0 -> copy.remove(key);
                case 1 -> copy.put(key, "rubbish " + chance.nextInt());
                default -> copy.put("F/" + chance.nextInt(), "more");
            }
        }
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{3, 1}, {5, 2}};
    }

    /**
     * Whatever happened to fewer than half of the copies, also to that of who compares: all are
     * mended.
     */
    @Test(dataProvider = "sizes")
    public void aMinorityIsMendedFromTheMost(int members, int wrong) {
        SplittableRandom chance = new SplittableRandom(3);
        for (int play = 0; play < 300; play++) {
            members(members);
            int first = chance.nextInt(members);
            for (int i = 0; i < wrong; i++) {
                damage(copies.get("m" + (first + i) % members), chance);
            }
            rounds();
            copies.forEach((m, copy) -> assertEquals(copy, state(), m));
        }
    }

    @Test
    public void withoutAMajorityNothingIsTouched() {
        members(3);
        copies.get("m1").put("L/Routes/1", "other");
        copies.get("m2").put("L/Routes/1", "another");
        Map<String, Map<String, String>> before = Map.copyOf(copies);
        rounds();
        assertEquals(copies, before);
        assertTrue(mender.undecided() > 0);
    }

    @Test
    public void aCopyAtAnotherPlaceSaysNothing() {
        members(3);
        copies.get("m1").put("L/Routes/1", "newer");
        copies.get("m2").put("L/Routes/1", "newer");
        mender.received("m1", PLACE + 1, RangeDigests.digests(copies.get("m1")));
        mender.received("m2", PLACE + 1, RangeDigests.digests(copies.get("m2")));
        mender.compare(
                "m0", List.copyOf(copies.keySet()), PLACE, RangeDigests.digests(copies.get("m0")));
        assertEquals(copies.get("m0"), state());
        assertEquals(mender.differing(), 0);
    }

    /**
     * A member that is none any more counts for nothing, so two of four are no majority of three.
     */
    @Test
    public void whoWasPutOutHasNoSay() {
        members(4);
        copies.get("m2").put("L/Routes/1", "other");
        copies.get("m3").put("L/Routes/1", "other");
        copies.forEach((m, copy) -> mender.received(m, PLACE, RangeDigests.digests(copy)));
        mender.compare(
                "m0", List.of("m0", "m1", "m2"), PLACE, RangeDigests.digests(copies.get("m0")));
        assertEquals(copies.get("m2"), state());
        assertEquals(copies.get("m0"), state());
    }
}
