package gingerspool.hygrometer;

import java.util.LinkedHashMap;
import java.util.Map;

/** One service of the configuration that the system starts instances for. Times are milliseconds. */
public final class Function {
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
    /** Slots in use or wanted: smoothed over a short span and a long one. */
    public double load;
    public double loadSlow;
    double loadAt;
    /** Mean running time as schedulers have seen it, 0 if none has. */
    public double run;
    /** When a task was last in hand anywhere. */
    public double busyAt = Double.NEGATIVE_INFINITY;

    /** What one scheduler wants of it. */
    static final class Demand {
        int lacks;
        int inHand;
        /** Slots given to it in all, on this link. */
        long granted;
        double since;
        /** Slots that it was asked back and has not given yet. */
        int recalled;
    }

    Function(String name) {
        this.name = name;
    }

    /** Slots in use and wanted now, by all schedulers. */
    int wantedNow() {
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

    /** Brings the smoothed load up to now; spans are in milliseconds. */
    void smooth(double now, double span, double spanSlow) {
        int n = wantedNow();
        double past = now - loadAt;
        load += (n - load) * (1 - Math.exp(-past / span));
        double slow = n > loadSlow ? span : spanSlow;
        loadSlow += (load - loadSlow) * (1 - Math.exp(-past / slow));
        loadAt = now;
        busyAt = n > 0 ? now : busyAt;
    }
}
