package gingerspool.consensus;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The voters: one set, or two during a change from the first to the second (joint consensus).
 * During a change every decision needs a majority of both sets.
 *
 * @param voters the set before the change, or the only set
 * @param incoming the set after the change, or null if no change is in progress
 */
public record VoterSet(List<Member> voters, List<Member> incoming) {
    static final VoterSet NONE = of(List.of());

    /** A voter set with no change in progress. */
    public static VoterSet of(List<Member> voters) {
        return new VoterSet(voters, null);
    }

    /** Whether a change is in progress. */
    public boolean isJoint() {
        return incoming != null;
    }

    /** The members of both sets, each once. */
    public List<Member> all() {
        if (!isJoint()) {
            return voters;
        }
        Set<Member> both = new LinkedHashSet<>(voters);
        both.addAll(incoming);
        return List.copyOf(both);
    }

    /** Whether a member is in either set. */
    public boolean contains(Member member) {
        return voters.contains(member) || isJoint() && incoming.contains(member);
    }

    boolean isEmpty() {
        return voters.isEmpty();
    }

    /** Whether a majority of each set meets a condition. */
    boolean hasQuorum(Predicate<Member> condition) {
        return hasMajority(voters, condition) && (!isJoint() || hasMajority(incoming, condition));
    }

    private static boolean hasMajority(List<Member> members, Predicate<Member> condition) {
        int count = 0;
        for (Member member : members) {
            count += condition.test(member) ? 1 : 0;
        }
        return count >= majoritySize(members);
    }

    private static int majoritySize(List<Member> members) {
        return members.size() / 2 + 1;
    }

    /**
     * The largest value that a majority of each set has reached. At least minMembers members of
     * each set must have reached it, or all of them if the set is smaller.
     */
    double quorumValue(ToDoubleFunction<Member> value, int minMembers) {
        double valueOfVoters = quorumValue(voters, value, minMembers);
        return isJoint()
                ? Math.min(valueOfVoters, quorumValue(incoming, value, minMembers))
                : valueOfVoters;
    }

    private static double quorumValue(
            List<Member> members, ToDoubleFunction<Member> value, int minMembers) {
        if (members.isEmpty()) {
            return Double.NEGATIVE_INFINITY;
        }
        double[] values = new double[members.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = value.applyAsDouble(members.get(i));
        }
        Arrays.sort(values);
        int required = Math.min(values.length, Math.max(majoritySize(members), minMembers));
        return values[values.length - required];
    }

    /** The joint set for a change from the current voters to the next ones. */
    VoterSet jointWith(List<Member> next) {
        return new VoterSet(List.copyOf(voters), List.copyOf(next));
    }
}
