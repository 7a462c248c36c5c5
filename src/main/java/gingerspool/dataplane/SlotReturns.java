package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.codec.Messages.InstanceCondition;
import java.util.List;

/**
 * Returns slots to the leader: slots that stay unused, recalled slots, and slots of instances that
 * can't be used. An unused slot is kept for a while only if the next request is likely to arrive in
 * that time or one is waiting at the Dispatcher.
 *
 * <p>Used by {@link FunctionQueue} and its parts, on the event loop; times are in milliseconds.
 */
final class SlotReturns {
    /** How long an unused slot is kept, in heartbeat intervals. */
    private static final double KEEP_HEARTBEATS = 1;

    /** An instance without granted slots is removed after this many heartbeat intervals. */
    private static final double REMOVE_HEARTBEATS = 50;

    /** The longest gap between requests that is counted, in multiples of the keep period. */
    private static final double MAX_GAP_KEEP_PERIODS = 8;

    private final FunctionQueue.Environment environment;
    private final SlotInventory inventory;
    private final RequestBacklog backlog;
    private final FunctionDispatcher dispatcher;
    private final ArrivalGap arrivalGap;
    private final double keepPeriod;
    private final double removeAfter;

    /** Slots that the leader has recalled and that have not been returned yet. */
    private int recalledSlots;

    SlotReturns(
            FunctionQueue.Environment environment,
            SlotInventory inventory,
            RequestBacklog backlog,
            FunctionDispatcher dispatcher) {
        this.environment = environment;
        this.inventory = inventory;
        this.backlog = backlog;
        this.dispatcher = dispatcher;
        double heartbeat = environment.settings().heartbeatInterval;
        keepPeriod = KEEP_HEARTBEATS * heartbeat;
        removeAfter = REMOVE_HEARTBEATS * heartbeat;
        arrivalGap = new ArrivalGap(MAX_GAP_KEEP_PERIODS * keepPeriod);
    }

    void onArrival(double now) {
        arrivalGap.onArrival(now);
    }

    /** The leader recalls slots, to be returned as they become free. */
    void onRecall(int slots) {
        recalledSlots += slots;
    }

    /** Forgets the recalls of the previous leader. */
    void reset() {
        recalledSlots = 0;
    }

    /**
     * Returns slots that are no longer kept or were recalled, and removes instances without use.
     */
    void returnUnused(double now) {
        for (InstanceSlot slot : List.copyOf(inventory.all())) {
            int unused = slot.unusedSlots();
            boolean isAwaited = !slot.isUp && backlog.hasUnattempted();
            boolean isKept = isKept(slot, now);
            if (unused > 0 && !isAwaited && (!isKept || recalledSlots > 0)) {
                int slots = isKept ? Math.min(unused, recalledSlots) : unused;
                returnSlots(slot, slots, InstanceCondition.HEALTHY);
            } else if (isRemovable(slot, now)) {
                inventory.remove(slot);
            }
        }
    }

    private boolean isKept(InstanceSlot slot, double now) {
        boolean isLikelyUsed = arrivalGap.mean() < keepPeriod || backlog.waitingAtDispatcher() > 0;
        return now < slot.idleSince + keepPeriod && isLikelyUsed && !slot.isDraining;
    }

    /**
     * Guards against an accumulation of instances: the leader may never mention an instance again
     * once it is gone.
     */
    private boolean isRemovable(InstanceSlot slot, double now) {
        return slot.granted == 0
                && slot.inUse == 0
                && slot.uncertain == 0
                && !slot.isConnecting
                && (slot.isDraining || now > slot.idleSince + removeAfter);
    }

    /**
     * Returns slots of an instance and reports its condition; with 0 slots only the condition.
     * Without a leader the slots are kept.
     */
    void returnSlots(InstanceSlot slot, int slots, InstanceCondition condition) {
        if (environment.sendToLeader(new Messages.SlotReturn(slot.instance, slots, condition))) {
            slot.granted -= slots;
            recalledSlots = Math.max(0, recalledSlots - slots);
            dispatcher.publishSlots(slot);
        }
    }
}
