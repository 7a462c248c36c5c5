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
    static final int ASSIGNMENTS_MOST = 8;

    /** Assignments of a request that may run once only. */
    private static final int UNSAFE_ASSIGNMENTS_MOST = 4;

    /** Attempts of a request at once, the hedged one included. */
    private static final int ATTEMPTS_AT_ONCE = 2;

    /** A hedged request goes out after this part of the shortest latency target. */
    private static final double HEDGE_AFTER_PART = 0.5;

    private static final Terms UNSAFE =
            new Terms(
                    UNSAFE_ASSIGNMENTS_MOST,
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
    private final Map<Integer, Terms> byAttempts = new HashMap<>();
    private double hedgeAfter;

    AttemptTerms(FunctionQueue.Environment environment) {
        this.environment = environment;
        retryBudget = new FunctionRetryBudget(environment.settings(), environment.schedulers());
    }

    /** The Dispatcher was renewed for these profiles. */
    void renew(RouteProfiles profiles) {
        hedgeAfter = HEDGE_AFTER_PART * profiles.shortestTarget();
        byAttempts.clear();
    }

    Terms of(PendingRequest request) {
        retryBudget.share(environment.schedulers());
        if (!request.isSafe() && has(RequestSafeguard.UNSAFE_ONCE)) {
            return UNSAFE;
        }
        return byAttempts.computeIfAbsent(attemptsMost(request), this::safe);
    }

    private Terms safe(int attempts) {
        RetryBudget budget = has(RequestSafeguard.RETRY_BUDGET) ? retryBudget : null;
        int atOnce = Math.min(ATTEMPTS_AT_ONCE, attempts);
        return new Terms(attempts, 0, 0, 0, 0, atOnce, hedgeAfter, budget, null);
    }

    private int attemptsMost(PendingRequest request) {
        int most =
                has(RequestSafeguard.MOST_ATTEMPTS)
                        ? request.route.getAttempts()
                        : ASSIGNMENTS_MOST;
        return Math.max(1, most) + request.unreachedAttempts;
    }

    private boolean has(RequestSafeguard safeguard) {
        return environment.loop().has(safeguard);
    }
}
