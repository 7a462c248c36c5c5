package gingerspool.autoscaler;

/** A machine of the platform on which instances run. Memory is in megabytes. */
final class WorkerHost {
    final String name;
    final String zone;
    double memoryMb;

    /** The free memory that the platform listed, less the memory of instances started since. */
    double freeMemoryMb;

    /** Whether the platform's latest list shows it as ready for starts. */
    boolean isReady;

    WorkerHost(String name, String zone) {
        this.name = name;
        this.zone = zone;
    }
}
