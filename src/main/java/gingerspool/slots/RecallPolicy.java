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
        int slots = 0;
        Map<String, Integer> granted = new HashMap<>();
        for (Instance instance : function.instances.values()) {
            if (instance.state == Instance.State.READY) {
                slots += instance.slots;
                instance.grantedByScheduler.forEach((s, n) -> granted.merge(s, n, Integer::sum));
            }
        }
        for (SchedulerDemand poor : List.copyOf(function.demands.values())) {
            if (poor.missingSlots > 0) {
                String rich = mostBeyondShare(function, poor, slots, granted);
                if (rich != null) {
                    function.demands.get(rich).recalled++;
                    recallFrom.accept(rich);
                }
            }
        }
    }

    /** The scheduler that holds most slots beyond its share, by one at least, or null. */
    private static String mostBeyondShare(
            Function function, SchedulerDemand poor, int slots, Map<String, Integer> granted) {
        int inFlight = Math.max(1, function.inFlight());
        String rich = null;
        double most = 0;
        for (Map.Entry<String, Integer> entry : granted.entrySet()) {
            SchedulerDemand demand = function.demands.get(entry.getKey());
            if (demand == null || demand == poor) {
                continue;
            }
            double share = (double) slots * demand.inFlight / inFlight;
            double beyond = entry.getValue() - share - demand.recalled;
            if (beyond > most && beyond >= 1) {
                rich = entry.getKey();
                most = beyond;
            }
        }
        return rich;
    }
}
