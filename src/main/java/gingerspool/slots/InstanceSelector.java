package gingerspool.slots;

/** Chooses the instance of which a scheduler is granted the next slot. */
final class InstanceSelector {
    /** What an instance in the scheduler's own zone is worth, in shares of an empty instance. */
    private static final double SAME_ZONE_BONUS = 1;

    private InstanceSelector() {}

    /**
     * A started instance with a free slot, near and empty ones first; else the one that starts
     * soonest, if the scheduler waits for more slots than it holds of starting ones. Null if there
     * is none.
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

    /** Always below that of a started one. */
    private static double scoreOfStarting(Instance instance, double now) {
        return -1 - instance.remainingStartTime(now);
    }

    private static double scoreOfStarted(Instance instance, String zone, double now) {
        double freeShare = (double) instance.freeSlots(now) / instance.slots;
        return freeShare + (instance.zone.equals(zone) ? SAME_ZONE_BONUS : 0);
    }
}
