package gingerspool.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Guards against schedulers that starve: for each that misses slots, the one that holds most beyond
 * its share of the demand gives one back as it falls free.
 */
final class RecallPolicy {
    private RecallPolicy() {}

    /** Notes each recalled slot and tells whom it is recalled from. */
    static void recall(Function function, Consumer<String> recallFrom) {
        int readySlots = 0;
        Map<String, Integer> grantedByScheduler = new HashMap<>();
        for (Instance instance : function.instances.values()) {
            if (instance.state == Instance.State.READY) {
                readySlots += instance.slots;
                instance.grantedByScheduler.forEach(
                        (s, n) -> grantedByScheduler.merge(s, n, Integer::sum));
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

    /** The scheduler that holds most slots beyond its share, by one at least, or null. */
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
