package gingerspool.antientropy;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the copies that members hold of one state at one index of the order, range by range.
 * What more than half of the members hold is right: a member that differs is sent it, and where it
 * is the comparing member itself that differs, it asks one that is right. Without such a majority
 * nothing is repaired. Copies at other indices say nothing.
 */
public final class ReplicaRepair {
    /** What a repair calls to act; range r is bit r. */
    public interface Exchange {
        /** This member is to send its items of these ranges, as of this index. */
        void ask(String member, long index, int ranges);

        /** This member gets our items of these ranges, as of this index. */
        void send(String member, long index, int ranges);
    }

    private record Copy(long index, List<Long> ranges) {}

    private final Map<String, Copy> copies = new HashMap<>();
    private final Exchange exchange;

    /**
     * RangeDigests that were found to differ, and those of them for which no copy has a majority.
     */
    private int differing;

    private int undecided;

    public ReplicaRepair(Exchange exchange) {
        this.exchange = exchange;
    }

    public int differing() {
        return differing;
    }

    public int undecided() {
        return undecided;
    }

    /** A member's digests. */
    public void received(String member, long index, List<Long> ranges) {
        if (ranges.size() == RangeDigests.COUNT) {
            copies.put(member, new Copy(index, ranges));
        }
    }

    /**
     * Compares all that members have told since the last time and hold at the index that we are at.
     */
    public void compare(String self, List<String> members, long index, List<Long> own) {
        compareAt(self, members, index, own);
        // Guards against what was repaired since: each copy counts once.
        copies.clear();
    }

    private void compareAt(String self, List<String> members, long index, List<Long> own) {
        copies.keySet().retainAll(members);
        copies.put(self, new Copy(index, own));
        copies.values().removeIf(c -> c.index != index);
        // By member: where it has what most hold and we don't, and where it is the other way round.
        Map<String, Integer> better = new HashMap<>();
        Map<String, Integer> worse = new HashMap<>();
        for (int r = 0; r < RangeDigests.COUNT; r++) {
            Long right = mostHeld(r, members.size());
            for (Map.Entry<String, Copy> e : copies.entrySet()) {
                boolean isRight = e.getValue().ranges.get(r).equals(right);
                if (right != null && isRight != own.get(r).equals(right)) {
                    (isRight ? better : worse).merge(e.getKey(), 1 << r, (a, b) -> a | b);
                }
            }
        }
        if (better.isEmpty()) {
            worse.forEach((member, ranges) -> exchange.send(member, index, ranges));
        } else {
            // One that is right wherever we are wrong, if there is one: parts of copies may not
            // fit.
            String best =
                    Collections.max(
                            better.keySet(),
                            Comparator.comparingInt(m -> Integer.bitCount(better.get(m))));
            exchange.ask(best, index, better.get(best));
        }
    }

    /**
     * What more than half of the members hold in this range; null where they agree, or no such is
     * known.
     */
    private Long mostHeld(int range, int members) {
        Map<Long, Integer> held = new HashMap<>();
        copies.values().forEach(c -> held.merge(c.ranges.get(range), 1, Integer::sum));
        if (held.size() < 2) {
            return null;
        }
        differing++;
        for (Map.Entry<Long, Integer> e : held.entrySet()) {
            if (e.getValue() > members / 2) {
                return e.getKey();
            }
        }
        undecided++;
        return null;
    }
}
