package gingerspool.dispatch;

/**
 * The effects of a Dispatcher's decisions, implemented by its host. Called on the scheduler's
 * thread, from within an input; calls take effect in the order made. Spans are milliseconds.
 */
public interface DispatchActions {
    /** Sends the assignment to its worker; a timeout of 0 lasts until the task's expiry. */
    void send(Assignment assignment, double timeout);

    /** Final: rejects the task. A retry is safe, best after this pause (0: no advice). */
    void bounce(Task task, double pause);

    /** Final: fails the task; it may or may not have had its effect. */
    void abandon(Task task);

    /** Cancels the assignment at its worker; its outcome still arrives as an input. */
    void cancel(Assignment assignment);

    /** Requests a load report from the worker. */
    void probe(int worker);

    /**
     * Sends a message to the dispatcher with this number, or to all others at -1. Called only if
     * the settings allow it.
     */
    default void sendToPeer(int dispatcher, byte[] message) {
        throw new IllegalStateException("this host does not support messages between dispatchers");
    }

    /** Requests the list of workers and its changes from now on. */
    void watchList();

    /** Schedules a call of wake() after this span. */
    void wakeAfter(double span);
}
