package gingerspool.dataplane;

import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.RetryBudget;
import gingerspool.dispatch.Terms;
import gingerspool.wire.RequestSafeguard;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;

/**
 * How many instances a request may go to, and when: what may be repeated to as many as its route
 * allows, within the retry budget; anything else to another one only if none was reached. By the
 * route, not the profile, as another profile may stand in until the Dispatcher is renewed.
 */
final class AttemptTerms {
    /** Assignments of a request in all, those that reached no instance included. */
    static final int MAX_ASSIGNMENTS = 8;

    /** Assignments of a request that may run once only. */
    private static final int MAX_UNSAFE_ASSIGNMENTS = 4;

    /** Attempts of a request at once, the hedged one included. */
    private static final int MAX_CONCURRENT_ATTEMPTS = 2;

    /** A hedged request goes out after this part of the shortest latency target. */
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
    private double hedgeDelay;

    AttemptTerms(FunctionQueue.Environment environment) {
        this.environment = environment;
        retryBudget = new FunctionRetryBudget(environment.settings(), environment.schedulerCount());
    }

    /** The Dispatcher was renewed for these profiles. */
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
        return environment.loop().has(safeguard);
    }
}
