package gingerspool.dispatch;

import java.util.EnumSet;
import java.util.Set;

/**
 * An operator's limits on the retries of a task. They only narrow what its effect and the settings
 * allow. Immutable apart from the shared budget; spans are milliseconds.
 */
public final class Terms {
    /** No limits besides the settings: no timeout, pause, copies or budget. */
    public static final Terms DEFAULT = new Terms(Integer.MAX_VALUE, 0, 0, 0, 0, 1, 0, null, null);

    /** Maximum number of assignments, copies included. */
    final int maxAssignments;

    /** Timeout of one assignment; 0: until the task's expiry. */
    final double timeout;

    /** Exponential backoff between tries: first pause (0: none), longest pause, share of jitter. */
    final double firstPause;

    final double maxPause;
    final double jitter;

    /**
     * Maximum number of assignments in flight at once (hedging), and how long after the last one a
     * further copy may be sent.
     */
    final int copies;

    final double copyDelay;
    final RetryBudget budget;
    private final Set<Outcome> retryableOutcomes;

    /** Creates terms; budget null: none, retryableOutcomes null: all that the effect allows. */
    public Terms(
            int maxAssignments,
            double timeout,
            double firstPause,
            double maxPause,
            double jitter,
            int copies,
            double copyDelay,
            RetryBudget budget,
            Set<Outcome> retryableOutcomes) {
        this.maxAssignments = maxAssignments;
        this.timeout = timeout;
        this.firstPause = firstPause;
        this.maxPause = maxPause;
        this.jitter = jitter;
        this.copies = copies;
        this.copyDelay = copyDelay;
        this.budget = budget;
        this.retryableOutcomes =
                retryableOutcomes == null ? EnumSet.allOf(Outcome.class) : retryableOutcomes;
    }

    boolean allowsRetryAfter(Outcome outcome) {
        return outcome == null || outcome == Outcome.MOOT || retryableOutcomes.contains(outcome);
    }

    /** Charges the budget for an assignment after the given number of tries. */
    void chargeBudget(int tries, double now) {
        if (budget != null && tries == 0) {
            budget.earn(now);
        } else if (budget != null) {
            budget.spend(now);
        }
    }

    /** The pause after the given number of tries; random is from 0 to 1. */
    double pause(int tries, double random) {
        return Math.min(maxPause, firstPause * Math.pow(2, tries - 1)) * (1 - jitter * random);
    }
}
