package gingerspool.route;

import gingerspool.dispatch.Outcome;
import java.util.Set;

/**
 * The operator's policy for the assignments of a task. Durations are in milliseconds, rates per
 * second.
 *
 * @param maxAssignments maximum number in all, copies included
 * @param timeout of one assignment; infinite: until the task's expiry
 * @param pause between one assignment's end and the next, or null for none
 * @param copies when further copies may be in flight, or null for one assignment at a time
 * @param retryBudget the budget of retries and copies, or null for none
 * @param limit the admission limit of the route, or null
 * @param tenantLimit the admission limit of each tenant, or null
 * @param retryableOutcomes the outcomes that may be retried, or null where only the task's effect
 *     decides
 */
public record Policy(
        int maxAssignments,
        double timeout,
        Backoff pause,
        Copies copies,
        Repeats retryBudget,
        Bound limit,
        Bound tenantLimit,
        Set<Outcome> retryableOutcomes) {

    /**
     * Exponential backoff: the first pause doubles up to the maximum; jitter is the largest share
     * that is taken off at random.
     */
    public record Backoff(double first, double max, double jitter) {
        /** The pause after the given number of assignments, before jitter. */
        public double pauseAfter(int assignments) {
            return Math.min(max, first * Math.pow(2, Math.max(0, assignments - 1)));
        }
    }

    /** Maximum number of assignments in flight, and the delay after which another is sent. */
    public record Copies(int maxInFlight, double delay) {}

    /** The retry budget: a share of first assignments plus a minimum rate. */
    public record Repeats(double share, double minPerS) {}

    /**
     * Limits on tasks in flight, their rate and the burst size; infinite where not set. If adaptive
     * is set, the limit on tasks in flight adapts to the latency.
     */
    public record Bound(double maxInFlight, double ratePerS, double burst, boolean adaptive) {}
}
