package gingerspool.autoscaler;

/** A machine of the platform that instances run on. Memory is megabytes. */
final class WorkerHost {
    final String name;
    final String zone;
    double memoryMb;

    /** As the platform listed it, less what was started there since. */
    double freeMemoryMb;

    boolean isReady;

    WorkerHost(String name, String zone) {
        this.name = name;
        this.zone = zone;
    }
}
