package gingerspool.slots;

import java.util.Collection;

/**
 * The capacity of one or more functions and how much of it is in use.
 *
 * @param instances the number of instances, in any state
 * @param memoryMb the memory that they take on their hosts, in megabytes
 * @param slots the requests that they can run at once
 * @param granted the slots that schedulers hold
 * @param inFlight the requests that schedulers hold, waiting or running
 * @param missing the slots that requests are waiting for
 */
public record SlotUsage(
        int instances, int memoryMb, int slots, int granted, int inFlight, int missing) {
    static final SlotUsage NONE = new SlotUsage(0, 0, 0, 0, 0, 0);

    static SlotUsage of(Function function) {
        int slots = 0;
        int granted = 0;
        for (Instance instance : function.instances.values()) {
            slots += instance.slots;
            granted += instance.grantedSlots();
        }
        return new SlotUsage(
                function.instances.size(),
                function.memoryMb * function.instances.size(),
                slots,
                granted,
                function.inFlight(),
                function.missingSlots());
    }

    static SlotUsage of(Collection<Function> functions) {
        return functions.stream().map(SlotUsage::of).reduce(NONE, SlotUsage::plus);
    }

    private SlotUsage plus(SlotUsage other) {
        return new SlotUsage(
                instances + other.instances,
                memoryMb + other.memoryMb,
                slots + other.slots,
                granted + other.granted,
                inFlight + other.inFlight,
                missing + other.missing);
    }

    /** Formatted as key-value fields of a log line. */
    @Override
    public String toString() {
        return "instances="
                + instances
                + " memory_mb="
                + memoryMb
                + " slots="
                + slots
                + " granted="
                + granted
                + " in_flight="
                + inFlight
                + " missing="
                + missing;
    }
}
