package gingerspool.dataplane;

import gingerspool.dispatch.RetryBudget;
import gingerspool.route.Policy;
import gingerspool.route.TokenRetryBudget;
import gingerspool.settings.NodeSettings;

/**
 * This scheduler's share of the platform's retry budget for one function. Retries are allowed as a
 * ratio of requests plus a floor rate; the floor is divided by the number of schedulers, which may
 * change while requests are in flight.
 *
 * <p>Called on the event loop; times are in milliseconds.
 */
final class FunctionRetryBudget implements RetryBudget {
    /**
     * The fractions of the platform's ratio and floor that are used. The remainder is left for
     * nested calls made by retried requests, and for schedulers that assume a different number of
     * schedulers.
     */
    private static final double RATIO_FRACTION = 0.5;

    private static final double FLOOR_FRACTION = 0.5;

    private final NodeSettings settings;
    private TokenRetryBudget budget;
    private int schedulerCount;

    FunctionRetryBudget(NodeSettings settings, int schedulerCount) {
        this.settings = settings;
        setSchedulerCount(schedulerCount);
    }

    /** Changes the number of schedulers that share the floor; the unspent budget is kept. */
    void setSchedulerCount(int newCount) {
        if (budget != null && newCount == schedulerCount) {
            return;
        }
        schedulerCount = newCount;
        double floorPerS =
                FLOOR_FRACTION * settings.retryBudgetSlack * 1000 / settings.retryBudgetWindow;
        Policy.Repeats policy =
                new Policy.Repeats(
                        RATIO_FRACTION * settings.retryBudgetRatio,
                        floorPerS / Math.max(1, newCount));
        budget = new TokenRetryBudget(policy, budget);
    }

    @Override
    public void earn(double now) {
        budget.earn(now);
    }

    @Override
    public boolean allows(double now) {
        return budget.allows(now);
    }

    @Override
    public void spend(double now) {
        budget.spend(now);
    }
}
