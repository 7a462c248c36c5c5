package gingerspool.dispatch;

/**
 * A budget of further assignments and copies, as the Dispatcher uses it. Times are milliseconds.
 */
public interface RetryBudget {
    /** A first assignment goes out, which earns a part of a further one. */
    void earn(double now);

    /** Whether a further assignment or copy is allowed now. */
    boolean allows(double now);

    void spend(double now);
}
