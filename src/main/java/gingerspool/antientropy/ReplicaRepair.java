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

    private record CopyDigests(long index, List<Long> digests) {}

    private final Exchange exchange;

    /** The number of the last comparison begun. */
    private long comparison;

    private boolean isUnderWay;
    private String self = "";
    private List<String> members = List.of();

    /** The member that was asked for its items in this comparison, until they come. */
    private String requestedMember = "";

    /** What the other members have told for the comparison under way. */
    private final Map<String, CopyDigests> digestsByMember = new HashMap<>();

    /**
     * RangeDigests that were found to differ, and those of them for which no copy has a majority.
     */
    private int differingRanges;

    private int undecidedRanges;

    public ReplicaRepair(Exchange exchange) {
        this.exchange = exchange;
    }

    public int differing() {
        return differingRanges;
    }

    public int undecided() {
        return undecidedRanges;
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
        requestedMember = "";
        digestsByMember.clear();
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
    public boolean received(String member, long comparison, long index, List<Long> digests) {
        boolean isExpected =
                isUnderWay && comparison == this.comparison && members.contains(member);
        if (!isExpected || member.equals(self) || digests.size() != RangeDigests.RANGE_COUNT) {
            return false;
        }
        digestsByMember.put(member, new CopyDigests(index, digests));
        return digestsByMember.size() == members.size() - 1;
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
    public void end(long index, List<Long> ownDigests) {
        if (!isUnderWay) {
            return;
        }
        isUnderWay = false;
        digestsByMember.put(self, new CopyDigests(index, ownDigests));
        digestsByMember.values().removeIf(copy -> copy.index != index);
        compare(index, ownDigests);
        digestsByMember.clear();
    }

    private void compare(long index, List<Long> ownDigests) {
        // By member: where it has what most hold and we don't, and where it is the other way round.
        Map<String, Integer> rangesToRequest = new HashMap<>();
        Map<String, Integer> rangesToSend = new HashMap<>();
        for (int range = 0; range < RangeDigests.RANGE_COUNT; range++) {
            Long majority = majorityDigest(range, members.size());
            for (Map.Entry<String, CopyDigests> copy : digestsByMember.entrySet()) {
                boolean matchesMajority = copy.getValue().digests.get(range).equals(majority);
                if (majority != null && matchesMajority != ownDigests.get(range).equals(majority)) {
                    (matchesMajority ? rangesToRequest : rangesToSend)
                            .merge(copy.getKey(), 1 << range, (a, b) -> a | b);
                }
            }
        }
        if (rangesToRequest.isEmpty()) {
            rangesToSend.forEach((member, ranges) -> exchange.send(member, index, ranges));
        } else {
            // One that is right wherever we are wrong, if there is one: parts of copies may not
            // fit.
            String source =
                    Collections.max(
                            rangesToRequest.keySet(),
                            Comparator.comparingInt(
                                    member -> Integer.bitCount(rangesToRequest.get(member))));
            requestedMember = source;
            exchange.ask(source, index, rangesToRequest.get(source));
        }
    }

    /** Whether items that this member sends are those that it was asked for; once for each ask. */
    public boolean takeAnswerOf(String member) {
        boolean wasRequested = member.equals(requestedMember);
        requestedMember = "";
        return wasRequested;
    }

    /**
     * What more than half of the members hold in this range; null where they agree, or no such is
     * known.
     */
    private Long majorityDigest(int range, int memberCount) {
        Map<Long, Integer> memberCountByDigest = new HashMap<>();
        digestsByMember
                .values()
                .forEach(
                        copy ->
                                memberCountByDigest.merge(
                                        copy.digests.get(range), 1, Integer::sum));
        if (memberCountByDigest.size() < 2) {
            return null;
        }
        differingRanges++;
        for (Map.Entry<Long, Integer> entry : memberCountByDigest.entrySet()) {
            if (entry.getValue() > memberCount / 2) {
                return entry.getKey();
            }
        }
        undecidedRanges++;
        return null;
    }
}
