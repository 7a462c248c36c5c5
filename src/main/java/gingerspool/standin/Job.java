package gingerspool.standin;

/** A task as a worker has it. Work is milliseconds on a standard core. */
final class Job {
    final String id;
    final String profile;

    /** Slots that it takes while it runs, and memory. */
    final int width;

    final double memory;
    final int priority;

    /** What was told of its work, for the order of backfilling; 0: nothing. */
    final double told;

    /** What is left of its work. */
    double left;

    final double work;

    /** NaN while it waits. */
    double startedAt = Double.NaN;

    /** Ends in failure. */
    boolean fails;

    Job(
            String id,
            String profile,
            int width,
            double memory,
            int priority,
            double told,
            double work) {
        this.id = id;
        this.profile = profile;
        this.width = width;
        this.memory = memory;
        this.priority = priority;
        this.told = told;
        this.work = work;
        left = work;
    }
}
