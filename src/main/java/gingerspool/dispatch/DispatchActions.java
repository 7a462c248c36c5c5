package gingerspool.dispatch;

/** What a Dispatcher calls to act. Calls take effect in the order made. */
public interface DispatchActions {
    /** Starts the assignment; a time-out of 0 is until the task's expiry. */
    void send(Assignment assignment, double timeout);

    /** Final: turned away, trying again is harmless, best after this pause (0: no advice). */
    void bounce(Task task, double pause);

    /** Final: failed, with no promise about its effect. */
    void abandon(Task task);

    void cancel(Assignment assignment);

    void probe(int worker);

    /**
     * Tells the dispatcher with this number, or all others at -1; only where settings say that it
     * may.
     */
    default void tell(int dispatcher, byte[] message) {
        throw new IllegalStateException("this host has no way to other dispatchers");
    }

    /** Asks for the list of workers and for its changes from now on. */
    void watchList();

    /** Asks for a call of wake() after this span. */
    void wakeAfter(double span);
}
