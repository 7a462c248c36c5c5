package gingerspool.dataplane;

import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.RetryBudget;
import gingerspool.dispatch.Terms;
import gingerspool.wire.RequestSafeguard;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Determines how many attempts a request may have, and when: a request that is safe to repeat has
 * as many as its route allows, within the retry budget; any other is sent to a further instance
 * only if no instance was reached. Based on the route rather than the profile, as a request may
 * have a substitute profile until the Dispatcher is replaced.
 *
 * <p>Used by {@link FunctionQueue} and {@link AttemptRunner} on the event loop.
 */
final class AttemptTerms {
    /** The maximum number of assignments of a request, including those that reached no instance. */
    static final int MAX_ASSIGNMENTS = 8;

    /** The maximum number of assignments of a request that may run only once. */
    private static final int MAX_UNSAFE_ASSIGNMENTS = 4;

    /** The maximum number of concurrent attempts of a request, including the hedged one. */
    private static final int MAX_CONCURRENT_ATTEMPTS = 2;

    /** A hedged attempt is sent after this fraction of the shortest latency target. */
    private static final double HEDGE_DELAY_FRACTION = 0.5;

    private static final Terms UNSAFE =
            new Terms(
                    MAX_UNSAFE_ASSIGNMENTS,
                    0,
                    0,
                    0,
                    0,
                    1,
                    0,
                    null,
                    EnumSet.of(Outcome.UNREACHABLE, Outcome.MOOT));

    private final FunctionQueue.Environment environment;
    private final FunctionRetryBudget retryBudget;
    private final Map<Integer, Terms> termsByAttempts = new HashMap<>();

    /** In milliseconds. */
    private double hedgeDelay;

    AttemptTerms(FunctionQueue.Environment environment) {
        this.environment = environment;
        retryBudget = new FunctionRetryBudget(environment.settings(), environment.schedulerCount());
    }

    /** The Dispatcher has been replaced by one with these profiles. */
    void renew(RouteProfiles profiles) {
        hedgeDelay = HEDGE_DELAY_FRACTION * profiles.shortestTarget();
        termsByAttempts.clear();
    }

    Terms of(PendingRequest request) {
        retryBudget.setSchedulerCount(environment.schedulerCount());
        if (!request.isSafe() && has(RequestSafeguard.UNSAFE_ONCE)) {
            return UNSAFE;
        }
        return termsByAttempts.computeIfAbsent(maxAttempts(request), this::safeTerms);
    }

    private Terms safeTerms(int attempts) {
        RetryBudget budget = has(RequestSafeguard.RETRY_BUDGET) ? retryBudget : null;
        int concurrentAttempts = Math.min(MAX_CONCURRENT_ATTEMPTS, attempts);
        return new Terms(attempts, 0, 0, 0, 0, concurrentAttempts, hedgeDelay, budget, null);
    }

    private int maxAttempts(PendingRequest request) {
        int routeAttempts =
                has(RequestSafeguard.MOST_ATTEMPTS) ? request.route.getAttempts() : MAX_ASSIGNMENTS;
        return Math.max(1, routeAttempts) + request.unreachedAttempts;
    }

    private boolean has(RequestSafeguard safeguard) {
        return environment.loop().isEnabled(safeguard);
    }
}
