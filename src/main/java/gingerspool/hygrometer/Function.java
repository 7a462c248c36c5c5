package gingerspool.hygrometer;

import java.util.LinkedHashMap;
import java.util.Map;

/** One service of the configuration that the system starts instances for. Times are milliseconds. */
public final class Function {
    private static final double LONG = 20;

    public final String name;
    public double boot;
    public int concurrency;
    public int memory;
    /** The shortest aim of its routes. */
    public double aim;
    /** Whether any route leads to it. */
    public boolean routed;
    public final Map<String, Instance> instances = new LinkedHashMap<>();
    /** By scheduler. */
    final Map<String, Demand> demands = new LinkedHashMap<>();
    /** Tasks a millisecond: smoothed over a short span, and over a longer one where it falls. */
    public double rate;
    public double rateSlow;
    /** The same over twenty times the short span. */
    public double rateLong;
    private double rateAt;
    /** Mean running time as schedulers have seen it, 0 if none has. */
    public double run;

    /** What one scheduler wants of it. */
    static final class Demand {
        int lacks;
        int inHand;
        long came;
        /** Slots given to it in all, on this link. */
        long granted;
        double since;
        /** Slots that it was asked back and has not given yet. */
        int recalled;
    }

    Function(String name) {
        this.name = name;
    }

    /** Tasks in hand, at all schedulers. */
    public int inHand() {
        int sum = 0;
        for (Demand d : demands.values()) {
            sum += d.inHand;
        }
        return sum;
    }

    public int lacks() {
        int sum = 0;
        for (Demand d : demands.values()) {
            sum += d.lacks;
        }
        return sum;
    }

    /** So many tasks more have come; spans are in milliseconds. */
    void came(double now, long more, double span, double spanSlow) {
        double past = now - rateAt;
        rate = rate * Math.exp(-past / span) + more / span;
        rateSlow = Math.max(rate, rate + (rateSlow - rate) * Math.exp(-past / spanSlow));
        rateLong = rateLong * Math.exp(-past / (LONG * span)) + more / (LONG * span);
        rateAt = now;
    }
}
