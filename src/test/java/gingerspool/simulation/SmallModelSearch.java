package gingerspool.simulation;

import gingerspool.consensus.ConsensusSafeguard;
import gingerspool.simulation.SmallCluster.Action;
import gingerspool.simulation.SmallCluster.Scripted;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Plays all schedules of a small core that deviate from the default at most so many times
 * (delay-bounded search). A replica can't be copied, so each schedule is played from the start; a
 * schedule ends early where it comes to a state that another one reached with as few deviations.
 */
final class SmallModelSearch {
    /** The core must serve within so many default steps after the last deviation was mended. */
    private static final int RECOVERY_STEPS = 1500;

    private static final int STEPS_MOST = 600;

    /** The bound of a search, and what is searched. */
    record Bound(
            int machines,
            int tolerated,
            long seed,
            List<Scripted> script,
            int snapshotFloor,
            int deviations,
            int mendings,
            Set<ConsensusSafeguard> disabled) {}

    /** What was found, null if nothing, and how much was searched. */
    record Result(String wrong, String schedule, long schedules, long states, double seconds) {}

    /** A choice other than the default: at which step, which of the possible actions. */
    private record Choice(int step, int action) {}

    private record Prefix(List<Choice> choices, int deviations, int mendings) {}

    private final Bound bound;
    private final Map<Long, Integer> reached = new ConcurrentHashMap<>();
    private final AtomicReference<Result> found = new AtomicReference<>();

    private SmallModelSearch(Bound bound) {
        this.bound = bound;
    }

    static Result search(Bound bound) {
        return new SmallModelSearch(bound).run();
    }

    private Result run() {
        long begin = System.nanoTime();
        long schedules = 0;
        List<Prefix> frontier = List.of(new Prefix(List.of(), 0, 0));
        while (!frontier.isEmpty() && found.get() == null) {
            schedules += frontier.size();
            frontier = frontier.parallelStream().flatMap(p -> play(p).stream()).toList();
        }
        Result result = found.get();
        double seconds = (System.nanoTime() - begin) / 1e9;
        return new Result(
                result == null ? null : result.wrong,
                result == null ? null : result.schedule,
                schedules,
                reached.size(),
                seconds);
    }

    /** Plays one schedule to its end and gives those that deviate from it once more. */
    private List<Prefix> play(Prefix prefix) {
        List<Prefix> more = new ArrayList<>();
        if (found.get() != null) {
            return more;
        }
        SmallCluster cluster = new SmallCluster(bound);
        List<String> schedule = new ArrayList<>();
        int next = 0;
        for (int step = 0; step < STEPS_MOST && !cluster.isOver(); step++) {
            List<Action> actions = cluster.actions();
            Action action = Action.DEFAULT;
            boolean chosen = next < prefix.choices.size() && prefix.choices.get(next).step == step;
            if (chosen) {
                action = actions.get(prefix.choices.get(next++).action);
                schedule.add(step + " " + action);
            } else if (next == prefix.choices.size()) {
                if (isReached(cluster, prefix)) {
                    return more;
                }
                branch(prefix, step, actions, more);
            }
            cluster.perform(action);
            if (cluster.wrong != null) {
                break;
            }
        }
        if (cluster.wrong == null) {
            cluster.recover(RECOVERY_STEPS);
        }
        if (cluster.wrong != null) {
            found.compareAndSet(
                    null, new Result(cluster.wrong, String.join(", ", schedule), 0, 0, 0));
        }
        return more;
    }

    private boolean isReached(SmallCluster cluster, Prefix prefix) {
        int used = prefix.deviations * 16 + prefix.mendings;
        Integer before = reached.putIfAbsent(cluster.digest(), used);
        if (before != null && before > used) {
            reached.put(cluster.digest(), used);
            return false;
        }
        return before != null;
    }

    private void branch(Prefix prefix, int step, List<Action> actions, List<Prefix> more) {
        for (int i = 1; i < actions.size(); i++) {
            boolean costs = actions.get(i).kind().costs();
            int deviations = prefix.deviations + (costs ? 1 : 0);
            int mendings = prefix.mendings + (costs ? 0 : 1);
            if (deviations <= bound.deviations && mendings <= bound.mendings) {
                List<Choice> choices = new ArrayList<>(prefix.choices);
                choices.add(new Choice(step, i));
                more.add(new Prefix(choices, deviations, mendings));
            }
        }
    }
}
