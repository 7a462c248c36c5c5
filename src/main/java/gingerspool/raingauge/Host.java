package gingerspool.raingauge;

/** A machine of the platform that instances run on. */
public final class Host {
    final String name;
    final String zone;
    double memory;
    /** As listed, less what was started there since. */
    double free;
    boolean ready;

    Host(String name, String zone) {
        this.name = name;
        this.zone = zone;
    }
}
