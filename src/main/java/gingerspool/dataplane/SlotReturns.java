package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.codec.Messages.InstanceCondition;
import java.util.List;

/**
 * Returns slots to the leader: those that stay unused, those that are recalled, and those of
 * instances that can't be used. A slot is kept unused for a while only where the next request is
 * likely to come meanwhile, or one waits at the Dispatcher.
 */
final class SlotReturns {
    /** How long a slot is kept unused, in heartbeat intervals. */
    private static final double KEEP_HEARTBEATS = 1;

    /** An instance where nothing was held for so many heartbeat intervals is forgotten. */
    private static final double REMOVE_HEARTBEATS = 50;

    /** The longest gap between requests that counts, in times that a slot is kept. */
    private static final double MAX_GAP_KEEP_PERIODS = 8;

    private final FunctionQueue.Environment environment;
    private final SlotInventory inventory;
    private final RequestBacklog backlog;
    private final FunctionDispatcher dispatcher;
    private final ArrivalGap arrivalGap;
    private final double keepPeriod;
    private final double removeAfter;
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

    /** The leader wants so many slots back as they fall free. */
    void onRecall(int slots) {
        recalledSlots += slots;
    }

    /** A new leader has recalled nothing yet. */
    void reset() {
        recalledSlots = 0;
    }

    /** Returns what is kept for nothing or recalled, and forgets instances that are of no use. */
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

    /** Guards against instances that pile up: the leader may never name one again that is gone. */
    private boolean isRemovable(InstanceSlot slot, double now) {
        return slot.granted == 0
                && slot.inUse == 0
                && slot.uncertain == 0
                && !slot.isConnecting
                && (slot.isDraining || now > slot.idleSince + removeAfter);
    }

    /** Returns slots of an instance, perhaps none; without a leader they stay here. */
    void returnSlots(InstanceSlot slot, int slots, InstanceCondition condition) {
        if (environment.sendToLeader(new Messages.SlotReturn(slot.instance, slots, condition))) {
            slot.granted -= slots;
            recalledSlots = Math.max(0, recalledSlots - slots);
            dispatcher.publishSlots(slot);
        }
    }
}
