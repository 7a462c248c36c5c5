package gingerspool.dispatch;

import java.util.SplittableRandom;

/** Decides whether and when a task is assigned again: effect, terms, retry budget. */
final class RetryPolicy {
    private final Estimates model;
    private final SplittableRandom random;

    RetryPolicy(Estimates model, SplittableRandom random) {
        this.model = model;
        this.random = random;
    }

    /** Guards against double effects: what may have run is resent only if its profile allows. */
    boolean isRetryForbidden(Task task) {
        return task.tries >= maxTries(task)
                || model.now >= task.expiry
                || !task.terms.allowsRetryAfter(task.lastOutcome)
                || task.firstRun != null
                        && (task.profile.effect == Profile.Effect.SIDE_EFFECTING
                                || task.profile.effect == Profile.Effect.FINGERPRINTED
                                        && model.now
                                                >= task.firstRun.sentAt + task.profile.dedupWindow);
    }

    private int maxTries(Task t) {
        return Math.min(model.maxTries, t.terms.maxAssignments);
    }

    /** Guards against retry storms: retries are limited to a share of first assignments. */
    boolean budgetSpent(Task task) {
        return task.tries > 0 && task.terms.budget != null && !task.terms.budget.allows(model.now);
    }

    /** Whether a further copy may run beside those in flight. */
    boolean mayCopy(Task t) {
        return t.inFlight < t.terms.copies
                && t.tries < maxTries(t)
                && t.profile.effect == Profile.Effect.IDEMPOTENT
                && !budgetSpent(t);
    }

    /** Whether to cancel an assignment at a hanging worker so that it can go elsewhere. */
    boolean mayCancelToRetry(Assignment a) {
        Task t = a.task;
        return a.peer < 0
                && !t.ended
                && !a.cancelled
                && Double.isNaN(a.startedAt)
                && t.tries < maxTries(t)
                && t.terms.allowsRetryAfter(Outcome.CANCELLED)
                && t.profile.effect != Profile.Effect.SIDE_EFFECTING;
    }

    boolean pauseDue(Task task) {
        return task.tries > task.pausedAfter && task.terms.firstPause > 0;
    }

    /** Begins a backoff pause; false if it would outlast the task, which is then given up. */
    boolean beginPause(Task task) {
        task.pausedAfter = task.tries;
        task.pauseUntil = model.now + task.terms.pause(task.tries, random.nextDouble());
        task.decideAt = task.pauseUntil;
        return task.pauseUntil < task.expiry;
    }
}
