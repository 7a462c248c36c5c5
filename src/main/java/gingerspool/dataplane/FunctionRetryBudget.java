package gingerspool.dataplane;

import gingerspool.dispatch.RetryBudget;
import gingerspool.route.Budget;
import gingerspool.route.Policy;
import gingerspool.settings.NodeSettings;

/**
 * This scheduler's part of the budget of repeats that the platform allows one function. The floor
 * is divided by the number of schedulers, which may change while requests are in hand.
 */
final class FunctionRetryBudget implements RetryBudget {
    /**
     * The parts of the platform's ratio and floor that are used: the rest is for calls that
     * repeated runs make, and for schedulers that know another number of schedulers.
     */
    private static final double RATIO_FRACTION = 0.5;

    private static final double FLOOR_FRACTION = 0.5;

    private final NodeSettings settings;
    private Budget budget;
    private int schedulerCount;

    FunctionRetryBudget(NodeSettings settings, int schedulerCount) {
        this.settings = settings;
        setSchedulerCount(schedulerCount);
    }

    /** So many schedulers share the floor from now on; what was saved up is kept. */
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
        budget = new Budget(policy, budget);
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
