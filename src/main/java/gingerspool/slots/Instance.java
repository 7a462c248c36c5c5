package gingerspool.slots;

import java.util.LinkedHashMap;
import java.util.Map;

/** One instance of a function, as the platform knows it. Facts only. Times are milliseconds. */
public final class Instance {
    /** Its life, as the platform lists it. */
    public enum State {
        STARTING,
        READY,

        /** It gets nothing new; what runs there may end. */
        DRAINING
    }

    public final String id;
    public final Function function;
    public final String address;
    public final String zone;
    public final String host;
    public final int slots;

    /** When it became known here. */
    public final double createdAt;

    public State state;

    /** Granted slots by scheduler. */
    final Map<String, Integer> grantedByScheduler = new LinkedHashMap<>();

    /** When a slot of it was last granted or returned. */
    public double lastUsedAt;

    /** Until then it is taken for unreachable. */
    double suspectUntil;

    /** When the platform's list that last named it was asked for; NaN: never. */
    public double listedAt = Double.NaN;

    /** Since when nothing new goes there; NaN: it may. */
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

    /** Slots that schedulers hold. */
    public int grantedSlots() {
        int sum = 0;
        for (int granted : grantedByScheduler.values()) {
            sum += granted;
        }
        return sum;
    }

    /** Whether schedulers could not reach it lately. */
    public boolean isSuspect(double now) {
        return now < suspectUntil;
    }

    int freeSlots(double now) {
        return state == State.DRAINING || isSuspect(now) ? 0 : Math.max(0, slots - grantedSlots());
    }

    /** How long until it has started, as starts take on average; 0 where it has. */
    double remainingStartTime(double now) {
        return state == State.STARTING ? Math.max(1, createdAt + function.startTime - now) : 0;
    }
}
