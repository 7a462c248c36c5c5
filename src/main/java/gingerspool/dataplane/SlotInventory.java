package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The instances of one function at which a scheduler holds slots, or held some recently, by id and
 * by worker number. A worker number is reused once its instance was removed.
 *
 * <p>Used by {@link FunctionQueue} and its parts, on the event loop.
 */
final class SlotInventory {
    private final FunctionQueue.Environment environment;
    private final Map<String, InstanceSlot> byInstance = new LinkedHashMap<>();
    private final List<InstanceSlot> byWorker = new ArrayList<>();
    private final ArrayDeque<Integer> freeWorkers = new ArrayDeque<>();

    SlotInventory(FunctionQueue.Environment environment) {
        this.environment = environment;
    }

    /** The instance with this id; null if it is not known. */
    InstanceSlot find(String instance) {
        return byInstance.get(instance);
    }

    InstanceSlot byWorker(int worker) {
        return byWorker.get(worker);
    }

    Collection<InstanceSlot> all() {
        return byInstance.values();
    }

    /** Adds the instance of a grant, but not the granted slots. */
    InstanceSlot add(Messages.SlotGrant grant) throws BadMessage {
        var address = Address.read(grant.address());
        Integer free = freeWorkers.poll();
        int worker = free != null ? free : byWorker.size();
        if (free == null) {
            byWorker.add(null);
        }
        InstanceSlot slot =
                new InstanceSlot(
                        grant.instance(),
                        address,
                        grant.zone(),
                        grant.capacity(),
                        environment.allocatePoolIndex(),
                        worker);
        byInstance.put(slot.instance, slot);
        byWorker.set(worker, slot);
        return slot;
    }

    /** Removes an instance that has no slots granted or in use. */
    void remove(InstanceSlot slot) {
        byInstance.remove(slot.instance);
        byWorker.set(slot.worker, null);
        freeWorkers.add(slot.worker);
        environment.releasePoolIndex(slot.poolIndex);
    }

    /** The number of slots that requests may use now. */
    int usableSlots() {
        int usable = 0;
        for (InstanceSlot slot : byInstance.values()) {
            usable += slot.usableSlots();
        }
        return usable;
    }

    boolean holdsSlots() {
        return byInstance.values().stream().anyMatch(slot -> slot.granted > 0);
    }

    /** Whether slots of a started instance are held, which become free again after use. */
    boolean holdsSlotsOfStarted() {
        return byInstance.values().stream().anyMatch(slot -> slot.isUp && slot.granted > 0);
    }

    boolean holdsUsableSlots() {
        return byInstance.values().stream().anyMatch(slot -> slot.isUsable() && slot.granted > 0);
    }

    /** Adds the slots held, by instance, to those of other functions. */
    void addHoldings(Map<String, Integer> holdings) {
        for (InstanceSlot slot : byInstance.values()) {
            if (slot.granted > 0) {
                holdings.put(slot.instance, slot.granted);
            }
        }
    }
}
