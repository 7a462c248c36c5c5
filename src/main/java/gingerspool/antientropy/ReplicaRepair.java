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
 *
 * <p>Invariant: only digests that were made on request of the comparison under way count. Members'
 * links keep the order of messages, so such a digest follows whatever an earlier comparison
 * repaired; an older one could outvote a right copy together with a later damage of the same kind.
 */
public final class ReplicaRepair {
    /** What a repair calls to act; range r is bit r. */
    public interface Exchange {
        /** This member is to tell the digests of its copy, for this comparison. */
        void requestDigests(String member, long comparison);

        /** This member is to send its items of these ranges, as of this index. */
        void ask(String member, long index, int ranges);

        /** This member gets our items of these ranges, as of this index. */
        void send(String member, long index, int ranges);
    }

    private record Copy(long index, List<Long> ranges) {}

    private final Exchange exchange;

    /** The number of the last comparison begun. */
    private long comparison;

    private boolean isUnderWay;
    private String self = "";
    private List<String> members = List.of();

    /** The member that was asked for its items in this comparison, until they come. */
    private String askedMember = "";

    /** What the other members have told for the comparison under way. */
    private final Map<String, Copy> copies = new HashMap<>();

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

    /**
     * Begins a comparison of our copy with those of the other members; one that was still under way
     * is given up.
     *
     * @return its number
     */
    public long begin(String self, List<String> members) {
        this.self = self;
        this.members = List.copyOf(members);
        comparison++;
        isUnderWay = true;
        askedMember = "";
        copies.clear();
        for (String member : members) {
            if (!member.equals(self)) {
                exchange.requestDigests(member, comparison);
            }
        }
        return comparison;
    }

    /**
     * A member's digests; what belongs to another comparison is dropped.
     *
     * @return whether all members have told theirs, so that the comparison may end
     */
    public boolean received(String member, long comparison, long index, List<Long> ranges) {
        boolean isAsked = isUnderWay && comparison == this.comparison && members.contains(member);
        if (!isAsked || member.equals(self) || ranges.size() != RangeDigests.COUNT) {
            return false;
        }
        copies.put(member, new Copy(index, ranges));
        return copies.size() == members.size() - 1;
    }

    /** Whether this comparison was begun and has not ended. */
    public boolean isUnderWay(long comparison) {
        return isUnderWay && comparison == this.comparison;
    }

    /**
     * Ends the comparison under way: what members have told and hold at the index that we are at is
     * compared with our digests of this very moment, and what differs is repaired. Without one it
     * changes nothing.
     */
    public void end(long index, List<Long> own) {
        if (!isUnderWay) {
            return;
        }
        isUnderWay = false;
        copies.put(self, new Copy(index, own));
        copies.values().removeIf(c -> c.index != index);
        compare(index, own);
        copies.clear();
    }

    private void compare(long index, List<Long> own) {
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
            askedMember = best;
            exchange.ask(best, index, better.get(best));
        }
    }

    /** Whether items that this member sends are those that it was asked for; once for each ask. */
    public boolean takeAnswerOf(String member) {
        boolean isAsked = member.equals(askedMember);
        askedMember = "";
        return isAsked;
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
