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
    private static final double RATIO_USED = 0.5;

    private static final double FLOOR_USED = 0.5;

    private final NodeSettings settings;
    private Budget budget;
    private int schedulers;

    FunctionRetryBudget(NodeSettings settings, int schedulers) {
        this.settings = settings;
        share(schedulers);
    }

    /** So many schedulers share the floor from now on; what was saved up is kept. */
    void share(int among) {
        if (budget != null && among == schedulers) {
            return;
        }
        schedulers = among;
        double floorPerS =
                FLOOR_USED * settings.retryBudgetSlack * 1000 / settings.retryBudgetWindow;
        Policy.Repeats policy =
                new Policy.Repeats(
                        RATIO_USED * settings.retryBudgetRatio, floorPerS / Math.max(1, among));
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
