package gingerspool.antientropy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Repair of deliberately damaged copies of one state on several members. */
public class ReplicaRepairTest {
    private static final long INDEX = 7;
    private final Map<String, Map<String, String>> copies = new LinkedHashMap<>();

    /** The comparison of the latest digest request, by the member that received it. */
    private final Map<String, Long> comparisonByMember = new HashMap<>();

    private final ReplicaRepair repair =
            new ReplicaRepair(
                    new ReplicaRepair.Exchange() {
                        @Override
                        public void requestDigests(String member, long comparison) {
                            comparisonByMember.put(member, comparison);
                        }

                        @Override
                        public void requestItems(String member, long index, int ranges) {
                            replaceRanges("m0", ranges, copies.get(member));
                        }

                        @Override
                        public void sendItems(String member, long index, int ranges) {
                            replaceRanges(member, ranges, copies.get("m0"));
                        }
                    });

    private void replaceRanges(String member, int ranges, Map<String, String> from) {
        copies.put(
                member,
                RangeDigests.withRangesReplaced(
                        copies.get(member), ranges, RangeDigests.items(from, ranges)));
    }

    private static Map<String, String> state() {
        Map<String, String> all = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            all.put("L/Routes/" + i, "route " + i);
        }
        return all;
    }

    private void createCopies(int memberCount) {
        copies.clear();
        for (int i = 0; i < memberCount; i++) {
            copies.put("m" + i, state());
        }
    }

    /** Runs two comparisons, since the comparing member may first have to be repaired itself. */
    private void compareTwice() {
        for (int round = 0; round < 2; round++) {
            repair.begin("m0", List.copyOf(copies.keySet()));
            copies.keySet().stream().filter(member -> !member.equals("m0")).forEach(this::answer);
            end();
        }
    }

    private boolean answer(String member) {
        return answer(member, INDEX, digests(member));
    }

    private boolean answer(String member, long index, List<Long> digests) {
        return repair.recordDigests(member, comparisonByMember.get(member), index, digests);
    }

    private List<Long> digests(String member) {
        return RangeDigests.digests(copies.get(member));
    }

    private void end() {
        repair.end(INDEX, digests("m0"));
    }

    private static void damage(Map<String, String> copy, SplittableRandom random) {
        for (int remaining = 1 + random.nextInt(20); remaining > 0; remaining--) {
            String key = "L/Routes/" + random.nextInt(220);
            switch (random.nextInt(3)) {
                case 0 -> copy.remove(key);
                case 1 -> copy.put(key, "rubbish " + random.nextInt());
                default -> copy.put("F/" + random.nextInt(), "more");
            }
        }
    }

    @DataProvider
    Object[][] clusterSizes() {
        return new Object[][] {{3, 1}, {5, 2}};
    }

    /**
     * Any damage to fewer than half of the copies is repaired, also if the comparing member's copy
     * is among them.
     */
    @Test(dataProvider = "clusterSizes")
    public void minorityIsRepairedFromTheMajority(int memberCount, int damagedCount) {
        SplittableRandom random = new SplittableRandom(3);
        for (int round = 0; round < 300; round++) {
            createCopies(memberCount);
            int firstDamaged = random.nextInt(memberCount);
            for (int i = 0; i < damagedCount; i++) {
                damage(copies.get("m" + (firstDamaged + i) % memberCount), random);
            }
            compareTwice();
            copies.forEach((member, copy) -> assertEquals(copy, state(), member));
        }
    }

    @Test
    public void withoutAMajorityNothingIsRepaired() {
        createCopies(3);
        copies.get("m1").put("L/Routes/1", "other");
        copies.get("m2").put("L/Routes/1", "another");
        Map<String, Map<String, String>> before = Map.copyOf(copies);
        compareTwice();
        assertEquals(copies, before);
        assertTrue(repair.undecidedRanges() > 0);
    }

    @Test
    public void copyAtAnotherIndexIsIgnored() {
        createCopies(3);
        copies.get("m1").put("L/Routes/1", "newer");
        copies.get("m2").put("L/Routes/1", "newer");
        repair.begin("m0", List.copyOf(copies.keySet()));
        answer("m1", INDEX + 1, digests("m1"));
        answer("m2", INDEX + 1, digests("m2"));
        end();
        assertEquals(copies.get("m0"), state());
        assertEquals(repair.differingRanges(), 0);
    }

    /** Digests of a removed member are not counted: two of four are no majority of three. */
    @Test
    public void removedMemberIsNotCounted() {
        createCopies(4);
        copies.get("m2").put("L/Routes/1", "other");
        copies.get("m3").put("L/Routes/1", "other");
        repair.begin("m0", List.of("m0", "m1", "m2", "m3"));
        repair.begin("m0", List.of("m0", "m1", "m2"));
        for (String member : List.of("m1", "m2", "m3")) {
            repair.recordDigests(member, comparisonByMember.get("m1"), INDEX, digests(member));
        }
        end();
        assertEquals(copies.get("m2"), state());
        assertEquals(copies.get("m0"), state());
    }

    /**
     * A digest computed before its member was repaired is ignored: together with the same damage to
     * another copy it would outvote the correct copy.
     */
    @Test
    public void digestOfAnEarlierComparisonIsIgnored() {
        createCopies(3);
        copies.get("m1").put("L/Routes/1", "other");
        repair.begin("m0", List.copyOf(copies.keySet()));
        List<Long> damaged = digests("m1");
        answer("m1");
        answer("m2");
        end();
        assertEquals(copies.get("m1"), state());
        long earlierComparison = comparisonByMember.get("m1");

        copies.get("m0").put("L/Routes/1", "other");
        repair.recordDigests("m1", earlierComparison, INDEX, damaged);
        repair.begin("m0", List.copyOf(copies.keySet()));
        repair.recordDigests("m1", earlierComparison, INDEX, damaged);
        answer("m2");
        end();
        assertEquals(copies.get("m2"), state());
        assertEquals(copies.get("m1"), state());
    }

    @Test
    public void comparisonMayEndOnceAllHaveAnswered() {
        createCopies(3);
        long comparison = repair.begin("m0", List.copyOf(copies.keySet()));
        assertFalse(answer("m1"));
        assertFalse(answer("m1"));
        assertTrue(answer("m2"));
        assertTrue(repair.isUnderWay(comparison));
        end();
        assertFalse(repair.isUnderWay(comparison));
        assertFalse(answer("m2"));
    }

    /**
     * Damages copies one after the other in the same way, each once all copies are correct, while
     * messages are delayed on links that preserve order: no correct copy may be replaced by a wrong
     * one.
     */
    @Test
    public void neverReplacesACorrectCopyByAWrongOne() {
        for (int seed = 0; seed < 500; seed++) {
            new DelayedLinks(seed).run();
        }
    }

    /** The comparing member m0, and m1 and m2, over links that delay messages but keep order. */
    private static final class DelayedLinks implements ReplicaRepair.Exchange {
        private static final int STEPS = 300;

        private final SplittableRandom random;
        private final Map<String, Map<String, String>> copies = new LinkedHashMap<>();
        private final Map<String, ArrayDeque<Runnable>> links = new LinkedHashMap<>();
        private final ReplicaRepair repair = new ReplicaRepair(this);
        private int damages;
        private int repairs;

        DelayedLinks(int seed) {
            random = new SplittableRandom(seed);
            for (String member : List.of("m0", "m1", "m2")) {
                copies.put(member, state());
            }
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                List<ArrayDeque<Runnable>> nonEmptyLinks =
                        links.values().stream().filter(link -> !link.isEmpty()).toList();
                int choice = random.nextInt(10);
                if (choice == 0) {
                    damageOneIfAllAreCorrect();
                } else if (choice <= 2) {
                    repair.begin("m0", List.copyOf(copies.keySet()));
                } else if (choice == 3) {
                    end();
                } else if (!nonEmptyLinks.isEmpty()) {
                    nonEmptyLinks.get(random.nextInt(nonEmptyLinks.size())).remove().run();
                }
            }
            assertTrue(damages <= repairs + 1, damages + " damages, " + repairs + " repairs");
        }

        private void damageOneIfAllAreCorrect() {
            if (copies.values().stream().allMatch(copy -> copy.equals(state()))) {
                copies.get("m" + random.nextInt(3)).put("L/Routes/1", "other");
                damages++;
            }
        }

        private void end() {
            repair.end(INDEX, RangeDigests.digests(copies.get("m0")));
        }

        private void sendItems(String from, String to, Runnable message) {
            links.computeIfAbsent(from + ">" + to, key -> new ArrayDeque<>()).add(message);
        }

        @Override
        public void requestDigests(String member, long comparison) {
            sendItems("m0", member, () -> answer(member, comparison));
        }

        private void answer(String member, long comparison) {
            List<Long> digests = RangeDigests.digests(copies.get(member));
            sendItems(
                    member,
                    "m0",
                    () -> {
                        if (repair.recordDigests(member, comparison, INDEX, digests)) {
                            end();
                        }
                    });
        }

        @Override
        public void requestItems(String member, long index, int ranges) {
            sendItems("m0", member, () -> answerItemRequest(member, ranges));
        }

        @Override
        public void sendItems(String member, long index, int ranges) {
            Map<String, String> items = RangeDigests.items(copies.get("m0"), ranges);
            sendItems("m0", member, () -> replace(member, ranges, items));
        }

        private void answerItemRequest(String member, int ranges) {
            Map<String, String> items = RangeDigests.items(copies.get(member), ranges);
            sendItems(
                    member,
                    "m0",
                    () -> {
                        if (repair.consumeItemRequest(member)) {
                            replace("m0", ranges, items);
                        }
                    });
        }

        private void replace(String member, int ranges, Map<String, String> items) {
            boolean wasCorrect = copies.get(member).equals(state());
            copies.put(member, RangeDigests.withRangesReplaced(copies.get(member), ranges, items));
            boolean isCorrect = copies.get(member).equals(state());
            assertTrue(isCorrect || !wasCorrect, member + " was correct");
            repairs += isCorrect && !wasCorrect ? 1 : 0;
        }
    }
}
