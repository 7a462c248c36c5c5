package gingerspool.slots;

/** Chooses the instance whose slot a scheduler is granted next. Called by the allocator. */
final class InstanceSelector {
    /** Added to the score of an instance in the scheduler's zone; an idle instance scores 1. */
    private static final double SAME_ZONE_BONUS = 1;

    private InstanceSelector() {}

    /**
     * A started instance with a free slot, preferring those in the scheduler's zone and those with
     * a large share of free slots. If there is none, the instance that is expected to start first,
     * provided that the scheduler is missing more slots than it already holds on starting
     * instances. Null if no instance qualifies.
     */
    static Instance select(Function function, String scheduler, String zone, double now) {
        int missing = function.demands.get(scheduler).missingSlots;
        boolean mayUseStarting = slotsOnStartingInstances(function, scheduler) < missing;
        Instance best = null;
        double bestScore = 0;
        for (Instance instance : function.instances.values()) {
            boolean isStarting = instance.state == Instance.State.STARTING;
            if (instance.freeSlots(now) > 0 && (!isStarting || mayUseStarting)) {
                double score =
                        isStarting
                                ? scoreOfStarting(instance, now)
                                : scoreOfStarted(instance, zone, now);
                if (best == null || score > bestScore) {
                    best = instance;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private static int slotsOnStartingInstances(Function function, String scheduler) {
        int slots = 0;
        for (Instance instance : function.instances.values()) {
            if (instance.state == Instance.State.STARTING) {
                slots += instance.grantedByScheduler.getOrDefault(scheduler, 0);
            }
        }
        return slots;
    }

    /** Always lower than the score of a started instance. */
    private static double scoreOfStarting(Instance instance, double now) {
        return -1 - instance.remainingStartTime(now);
    }

    private static double scoreOfStarted(Instance instance, String zone, double now) {
        double freeShare = (double) instance.freeSlots(now) / instance.slots;
        return freeShare + (instance.zone.equals(zone) ? SAME_ZONE_BONUS : 0);
    }
}
