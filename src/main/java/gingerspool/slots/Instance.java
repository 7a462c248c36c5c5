package gingerspool.slots;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What is known of one instance of a function. It holds data only: the allocator decides. Used on
 * the allocator's thread only. Times are milliseconds.
 */
public final class Instance {
    /** The lifecycle state of an instance. */
    public enum State {
        STARTING,
        READY,

        /** It is given no new requests; those that run there may finish. */
        DRAINING
    }

    public final String id;
    public final Function function;
    public final String address;
    public final String zone;
    public final String host;
    public final int slots;

    /** When the allocator first learned of it. */
    public final double createdAt;

    public State state;

    /** Granted slots by scheduler. */
    final Map<String, Integer> grantedByScheduler = new LinkedHashMap<>();

    /** When one of its slots was last granted or returned. */
    public double lastUsedAt;

    /** The time until which it is considered unreachable. */
    double suspectUntil;

    /** When the latest platform list that contains it was requested; NaN if none contained it. */
    public double listedAt = Double.NaN;

    /** When it began to drain; NaN while it is not draining. */
    public double drainingSince = Double.NaN;

    Instance(
            String id,
            Function function,
            String address,
            String zone,
            String host,
            int slots,
            State state,
            double now) {
        this.id = id;
        this.function = function;
        this.address = address;
        this.zone = zone;
        this.host = host;
        this.slots = slots;
        this.state = state;
        createdAt = now;
        lastUsedAt = now;
    }

    /** The number of its slots that schedulers hold. */
    public int grantedSlots() {
        int sum = 0;
        for (int granted : grantedByScheduler.values()) {
            sum += granted;
        }
        return sum;
    }

    /** Whether a scheduler recently failed to reach it. */
    public boolean isSuspect(double now) {
        return now < suspectUntil;
    }

    /** The slots that may be granted now; 0 while it is draining or suspect. */
    int freeSlots(double now) {
        return state == State.DRAINING || isSuspect(now) ? 0 : Math.max(0, slots - grantedSlots());
    }

    /** The time until it is expected to have started; 0 if it is not starting. */
    double remainingStartTime(double now) {
        return state == State.STARTING ? Math.max(1, createdAt + function.startTime - now) : 0;
    }
}
