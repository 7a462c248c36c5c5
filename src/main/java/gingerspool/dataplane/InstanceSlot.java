package gingerspool.dataplane;

import java.net.InetSocketAddress;

/** What a scheduler knows of one instance, and the slots that it holds there. Facts only. */
final class InstanceSlot {
    final String instance;
    final InetSocketAddress address;
    final String zone;

    /** Requests that the instance runs at once, for all schedulers. */
    final int capacity;

    /** Its number in the pool of connections. */
    final int poolIndex;

    /** Its number in the function's Dispatcher. */
    final int worker;

    /** Slots that the leader granted, or that were taken while there was none. */
    int granted;

    /** Slots in use. */
    int inUse;

    /** Slots where something that was given up may still be running. */
    int uncertain;

    /** Whether it has started. */
    boolean isUp;

    /** Whether one of its slots was taken while there was no leader. */
    boolean isUnassigned;

    /** Whether nothing new may go there. */
    boolean isDraining;

    /** Whether an attempt to connect is under way or scheduled. */
    boolean isConnecting;

    /** When it is expected to have started. */
    double startsAt;

    /** When a slot of it was last granted or freed. */
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

    /** Slots that a request may take now: none of an instance that starts or drains. */
    int usableSlots() {
        return isUsable() ? unusedSlots() : 0;
    }

    boolean isUsable() {
        return isUp && !isDraining;
    }

    /** Slots that no request uses, also of an instance that starts or drains. */
    int unusedSlots() {
        return Math.max(0, granted - inUse - uncertain);
    }
}
