package gingerspool.dispatch;

/**
 * One attempt to run a task on a worker; also represents a send announced by another dispatcher.
 * Created by the Sender and PeerSends. Times and spans are milliseconds.
 */
public final class Assignment {
    public final Task task;
    public final int worker;

    /** Number of this attempt of its task, from 0. */
    public final int number;

    final double sentAt;

    /** Expected running time and wait at the worker. */
    double run;

    final double wait;

    /** When it started to run; NaN: not known. */
    double startedAt = Double.NaN;

    /** Region of queued work believed at the worker when it was sent. */
    int region;

    /** Whether a recent report showed a free slot when it was sent. */
    boolean sawFreeSlot;

    /** Whether it has an outcome. */
    boolean finished;

    /** Sequence number, which orders assignments of tasks with the same due time. */
    final long serial;

    /** Whether it was in flight when its task's due time passed. */
    boolean overdue;

    /** Whether it was cancelled so that its task can be retried. */
    boolean cancelled;

    /** Whether its outcome proves that the task did not run. */
    boolean neverRan;

    /** Number of the dispatcher that announced it; -1: our own. */
    int peer = -1;

    /** Whether it was announced to the other dispatchers. */
    boolean announced;

    /** Neighbours in the list of its worker's unfinished sends. */
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
     * Estimates when it was sent, for logs: region, running time, wait, whether a slot was free.
     */
    public String estimates() {
        return region + "," + Math.round(run) + "," + Math.round(wait) + "," + sawFreeSlot;
    }
}
