package gingerspool.dispatch;

import java.util.EnumSet;
import java.util.Set;

/**
 * What an operator allows a task, within what its effect and the settings allow. Spans are
 * milliseconds.
 */
public final class Terms {
    /** The settings alone: no time-out of its own, no pause, no copies, no budget. */
    public static final Terms DEFAULT = new Terms(Integer.MAX_VALUE, 0, 0, 0, 0, 1, 0, null, null);

    final int maxAssignments;

    /** Of one assignment; 0: until the task's expiry. */
    final double timeout;

    final double firstPause;
    final double maxPause;
    final double jitter;

    /**
     * How many assignments may be out at once, and how long the last one must have been out before
     * another.
     */
    final int copies;

    final double copyDelay;
    final RetryBudget budget;
    private final Set<Outcome> retryableOutcomes;

    /** The budget may be null (none), and so may again (every outcome that the effect allows). */
    public Terms(
            int assignments,
            double timeout,
            double firstPause,
            double mostPause,
            double jitter,
            int copies,
            double copyAfter,
            RetryBudget budget,
            Set<Outcome> again) {
        this.maxAssignments = assignments;
        this.timeout = timeout;
        this.firstPause = firstPause;
        this.maxPause = mostPause;
        this.jitter = jitter;
        this.copies = copies;
        this.copyDelay = copyAfter;
        this.budget = budget;
        this.retryableOutcomes = again == null ? EnumSet.allOf(Outcome.class) : again;
    }

    boolean allowsRetryAfter(Outcome how) {
        return how == null || how == Outcome.MOOT || retryableOutcomes.contains(how);
    }

    /** An assignment goes out after so many others of its task. */
    void chargeBudget(int tries, double now) {
        if (budget != null && tries == 0) {
            budget.earn(now);
        } else if (budget != null) {
            budget.spend(now);
        }
    }

    /** The pause after so many assignments; chance is from 0 to 1. */
    double pause(int tries, double chance) {
        return Math.min(maxPause, firstPause * Math.pow(2, tries - 1)) * (1 - jitter * chance);
    }
}
