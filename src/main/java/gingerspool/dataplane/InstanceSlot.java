package gingerspool.dataplane;

import java.net.InetSocketAddress;

/** What a scheduler knows of one instance, and the slots that it holds there. */
final class InstanceSlot {
    final String instance;
    final FunctionQueue desk;
    final InetSocketAddress address;
    final String zone;
    final int capacity;

    /** Its number in the pool of connections. */
    final int poolIndex;

    /** Its number in the function's Dispatcher. */
    final int worker;

    /** Slots that the leader gave. */
    int held;

    /** Slots in use, and those where something that was given up may still be running. */
    int used;

    int doubtful;
    boolean up;

    /** One of the slots held was taken while there was no leader. */
    boolean unassigned;

    /** Nothing new goes there. */
    boolean leaving;

    boolean connecting;
    double startsAt;
    double idleSince;

    InstanceSlot(
            String instance,
            FunctionQueue desk,
            InetSocketAddress address,
            String zone,
            int capacity,
            int poolIndex,
            int worker) {
        this.instance = instance;
        this.desk = desk;
        this.address = address;
        this.zone = zone;
        this.capacity = capacity;
        this.poolIndex = poolIndex;
        this.worker = worker;
    }

    /** Slots that a task may take now. */
    int free() {
        return up && !leaving ? Math.max(0, held - used - doubtful) : 0;
    }

    /** Slots that are held for nothing. */
    int idle() {
        return Math.max(0, held - used - doubtful);
    }
}
