package gingerspool.consensus;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The voters: one set, or two while a change from the first to the second is under way (joint
 * consensus). Whatever is decided while it is, is decided by majorities of both.
 *
 * @param voters the set before the change, or the only one
 * @param incoming the set after the change, or null
 */
public record VoterSet(List<Member> voters, List<Member> incoming) {
    static final VoterSet NONE = of(List.of());

    /** A set with no change under way. */
    public static VoterSet of(List<Member> voters) {
        return new VoterSet(voters, null);
    }

    /** Whether a change is under way. */
    public boolean isJoint() {
        return incoming != null;
    }

    /** The members of either set, each once. */
    public List<Member> all() {
        if (!isJoint()) {
            return voters;
        }
        Set<Member> both = new LinkedHashSet<>(voters);
        both.addAll(incoming);
        return List.copyOf(both);
    }

    /** Whether a member votes in either set. */
    public boolean contains(Member member) {
        return voters.contains(member) || isJoint() && incoming.contains(member);
    }

    boolean isEmpty() {
        return voters.isEmpty();
    }

    /** Whether a majority of each set fulfils a condition. */
    boolean hasQuorum(Predicate<Member> fulfils) {
        return majority(voters, fulfils) && (!isJoint() || majority(incoming, fulfils));
    }

    private static boolean majority(List<Member> set, Predicate<Member> fulfils) {
        int count = 0;
        for (Member member : set) {
            count += fulfils.test(member) ? 1 : 0;
        }
        return count >= majority(set);
    }

    private static int majority(List<Member> set) {
        return set.size() / 2 + 1;
    }

    /**
     * The largest value that a majority of each set reaches, and not fewer members than `least`
     * where the set has so many.
     */
    double reached(ToDoubleFunction<Member> value, int least) {
        double first = reached(voters, value, least);
        return isJoint() ? Math.min(first, reached(incoming, value, least)) : first;
    }

    private static double reached(List<Member> set, ToDoubleFunction<Member> value, int least) {
        if (set.isEmpty()) {
            return Double.NEGATIVE_INFINITY;
        }
        double[] values = new double[set.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = value.applyAsDouble(set.get(i));
        }
        Arrays.sort(values);
        int wanted = Math.min(values.length, Math.max(majority(set), least));
        return values[values.length - wanted];
    }

    /** The joint set that leads from the present voters to others. */
    VoterSet changedTo(List<Member> next) {
        return new VoterSet(List.copyOf(voters), List.copyOf(next));
    }
}
