package gingerspool.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Guards against starvation of schedulers: for each scheduler that is missing slots, one slot is
 * recalled from the scheduler that most exceeds its fair share. That scheduler returns the slot
 * once it is free. Called by the allocator.
 */
final class RecallPolicy {
    private RecallPolicy() {}

    /** Counts each recalled slot and passes the scheduler that is to return it to the consumer. */
    static void recall(Function function, Consumer<String> recallFrom) {
        int readySlots = 0;
        Map<String, Integer> grantedByScheduler = new HashMap<>();
        for (Instance instance : function.instances.values()) {
            if (instance.state == Instance.State.READY) {
                readySlots += instance.slots;
                instance.grantedByScheduler.forEach(
                        (scheduler, granted) ->
                                grantedByScheduler.merge(scheduler, granted, Integer::sum));
            }
        }
        for (SchedulerDemand starvedDemand : List.copyOf(function.demands.values())) {
            if (starvedDemand.missingSlots > 0) {
                String overservedScheduler =
                        mostOverservedScheduler(
                                function, starvedDemand, readySlots, grantedByScheduler);
                if (overservedScheduler != null) {
                    function.demands.get(overservedScheduler).recalled++;
                    recallFrom.accept(overservedScheduler);
                }
            }
        }
    }

    /**
     * The scheduler that most exceeds its fair share, by at least one slot, or null. The fair share
     * is proportional to the requests in flight; slots already recalled do not count as held.
     */
    private static String mostOverservedScheduler(
            Function function,
            SchedulerDemand starvedDemand,
            int readySlots,
            Map<String, Integer> grantedByScheduler) {
        int inFlight = Math.max(1, function.inFlight());
        String overservedScheduler = null;
        double largestExcess = 0;
        for (Map.Entry<String, Integer> entry : grantedByScheduler.entrySet()) {
            SchedulerDemand demand = function.demands.get(entry.getKey());
            if (demand == null || demand == starvedDemand) {
                continue;
            }
            double fairShare = (double) readySlots * demand.inFlight / inFlight;
            double excess = entry.getValue() - fairShare - demand.recalled;
            if (excess > largestExcess && excess >= 1) {
                overservedScheduler = entry.getKey();
                largestExcess = excess;
            }
        }
        return overservedScheduler;
    }
}
