package gingerspool.antientropy;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the members' copies of one state at one index of the log, range by range, on the member
 * that leads the comparison. The digest held by more than half of the members is taken as correct.
 * Members that differ from it are sent the items; if the comparing member itself differs, it
 * requests the items from a member with the correct ones. A range without such a majority is not
 * repaired. Copies at other indices are ignored.
 *
 * <p>Invariant: only digests computed on request of the current comparison count. Links between
 * members preserve message order, so such a digest reflects all repairs of earlier comparisons. A
 * digest from an earlier comparison could outvote a correct copy if another copy is later damaged
 * in the same way.
 *
 * <p>Performs no I/O and is not thread-safe: the caller sends the messages of {@link Exchange}.
 */
public final class ReplicaRepair {
    /** Sends the messages of a repair to other members; range r is bit r. */
    public interface Exchange {
        /** Requests the digests of the member's copy, for this comparison. */
        void requestDigests(String member, long comparison);

        /** Requests the member's items in these ranges, as of this index. */
        void requestItems(String member, long index, int ranges);

        /** Sends this process's items in these ranges, as of this index, to the member. */
        void sendItems(String member, long index, int ranges);
    }

    /** The digests of a member's copy at an index of the log, one per range. */
    private record CopyDigests(long index, List<Long> digests) {}

    private final Exchange exchange;

    /** The number of the latest comparison. */
    private long comparison;

    private boolean isUnderWay;
    private String self = "";
    private List<String> members = List.of();

    /** The member whose items were requested and have not arrived yet; empty if none. */
    private String requestedMember = "";

    /** The digests received for the current comparison. */
    private final Map<String, CopyDigests> digestsByMember = new HashMap<>();

    /** Total number of ranges found to differ. */
    private int differingRanges;

    /** Total number of differing ranges in which no digest had a majority. */
    private int undecidedRanges;

    public ReplicaRepair(Exchange exchange) {
        this.exchange = exchange;
    }

    public int differingRanges() {
        return differingRanges;
    }

    public int undecidedRanges() {
        return undecidedRanges;
    }

    /**
     * Begins a comparison of this member's copy with those of the other members; a comparison that
     * is still under way is abandoned.
     *
     * @return the number of the comparison
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
     * Records a member's digests; those of another comparison are ignored.
     *
     * @return whether the digests of all other members have arrived, so that the comparison may end
     */
    public boolean recordDigests(String member, long comparison, long index, List<Long> digests) {
        boolean isExpected =
                isUnderWay && comparison == this.comparison && members.contains(member);
        if (!isExpected || member.equals(self) || digests.size() != RangeDigests.RANGE_COUNT) {
            return false;
        }
        digestsByMember.put(member, new CopyDigests(index, digests));
        return digestsByMember.size() == members.size() - 1;
    }

    /** Whether this is the current comparison and it has not ended. */
    public boolean isUnderWay(long comparison) {
        return isUnderWay && comparison == this.comparison;
    }

    /**
     * Ends the current comparison: compares the digests received for this index with this member's
     * current digests and starts the repair of ranges that differ. Does nothing if no comparison is
     * under way.
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
        // By member: the ranges in which it is correct and this member is wrong, and the reverse.
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
            rangesToSend.forEach((member, ranges) -> exchange.sendItems(member, index, ranges));
        } else {
            // Requests from the one member that is correct in most of these ranges, since ranges of
            // different copies may be inconsistent with each other.
            String source =
                    Collections.max(
                            rangesToRequest.keySet(),
                            Comparator.comparingInt(
                                    member -> Integer.bitCount(rangesToRequest.get(member))));
            requestedMember = source;
            exchange.requestItems(source, index, rangesToRequest.get(source));
        }
    }

    /** Whether items were requested from this member; each request is consumed only once. */
    public boolean consumeItemRequest(String member) {
        boolean wasRequested = member.equals(requestedMember);
        requestedMember = "";
        return wasRequested;
    }

    /**
     * The digest of this range held by more than half of the members; null if all copies agree or
     * no digest has a majority.
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
