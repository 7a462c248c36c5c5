package gingerspool.dispatch;

/** One attempt to run a task on a worker. */
public final class Assignment {
    public final Task task;
    public final int worker;
    public final int number;
    final double sentAt;

    /** Running time expected there, and the wait believed in when it was sent. */
    double run;

    final double wait;
    double startedAt = Double.NaN;

    /** Region of queued work believed at the worker when this was sent. */
    int region;

    /** Whether a fresh report had a free slot when this was sent. */
    boolean sawFreeSlot;

    boolean finished;

    /** Tells assignments of tasks with the same due time apart. */
    final long serial;

    /** It was under way when its task's due time passed. */
    boolean overdue;

    boolean cancelled;
    boolean neverRan;

    /** It is another dispatcher's, who told of it; -1: our own. */
    int peer = -1;

    /** Other dispatchers know of it. */
    boolean announced;

    Assignment previous;
    Assignment next;

    Assignment(
            Task task,
            int worker,
            int number,
            double sentAt,
            double run,
            double wait,
            long serial) {
        this.task = task;
        this.worker = worker;
        this.number = number;
        this.sentAt = sentAt;
        this.run = run;
        this.wait = wait;
        this.serial = serial;
    }

    /**
     * Beliefs when it was sent, for a log: region of queued work, running time, wait, if a slot was
     * free.
     */
    public String beliefs() {
        return region + "," + Math.round(run) + "," + Math.round(wait) + "," + sawFreeSlot;
    }
}
