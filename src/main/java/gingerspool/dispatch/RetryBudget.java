package gingerspool.dispatch;

/**
 * A budget of retries and copies, implemented by the host and shared by the tasks of a route. Times
 * are milliseconds.
 */
public interface RetryBudget {
    /** Adds the share of a retry that a first assignment earns. */
    void earn(double now);

    /** Whether a retry or copy is allowed now. */
    boolean allows(double now);

    void spend(double now);
}
