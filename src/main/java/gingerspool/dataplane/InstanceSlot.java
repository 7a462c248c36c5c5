package gingerspool.dataplane;

import java.net.InetSocketAddress;

/**
 * What a scheduler knows about one instance, and the slots that it holds there. Holds state only;
 * times are in milliseconds on the loop's clock. Owned by {@link SlotInventory}.
 */
final class InstanceSlot {
    final String instance;
    final InetSocketAddress address;
    final String zone;

    /** The number of requests that the instance runs concurrently, from all schedulers. */
    final int capacity;

    /** Its index in the connection pool. */
    final int poolIndex;

    /** Its worker number in the function's Dispatcher. */
    final int worker;

    /**
     * Slots that the leader granted, or that were used without a grant while there was no leader.
     */
    int granted;

    /** Slots in use. */
    int inUse;

    /** Slots on which an abandoned request may still be running. */
    int uncertain;

    /** Whether the instance has started. */
    boolean isUp;

    /** Whether one of its slots was used without a grant while there was no leader. */
    boolean isUnassigned;

    /** Whether no further requests may be sent to it. */
    boolean isDraining;

    /** Whether an attempt to connect is under way or scheduled. */
    boolean isConnecting;

    /** When the instance is expected to be up. */
    double startsAt;

    /** When one of its slots was last granted or released. */
    double idleSince;

    InstanceSlot(
            String instance,
            InetSocketAddress address,
            String zone,
            int capacity,
            int poolIndex,
            int worker) {
        this.instance = instance;
        this.address = address;
        this.zone = zone;
        this.capacity = capacity;
        this.poolIndex = poolIndex;
        this.worker = worker;
    }

    /** Slots that a request may use now; none while the instance is starting or draining. */
    int usableSlots() {
        return isUsable() ? unusedSlots() : 0;
    }

    boolean isUsable() {
        return isUp && !isDraining;
    }

    /** Slots that no request uses, also while the instance is starting or draining. */
    int unusedSlots() {
        return Math.max(0, granted - inUse - uncertain);
    }
}
