package gingerspool.dispatch;

import java.util.SplittableRandom;

/** Further assignments: whether a task's effect, its terms and its budget allow one, and when. */
final class RetryPolicy {
    private final Estimates model;
    private final SplittableRandom random;

    RetryPolicy(Estimates model, SplittableRandom random) {
        this.model = model;
        this.random = random;
    }

    /** Guards rule two: what may have run goes out again only as its profile allows. */
    boolean isRetryForbidden(Task task) {
        return task.tries >= maxTries(task)
                || model.now >= task.expiry
                || !task.terms.allowsRetryAfter(task.lastOutcome)
                || task.firstRun != null
                        && (task.profile.effect == Profile.Effect.SIDE_EFFECTING
                                || task.profile.effect == Profile.Effect.FINGERPRINTED
                                        && model.now >= task.firstRun.sentAt + task.profile.window);
    }

    private int maxTries(Task t) {
        return Math.min(model.maxTries, t.terms.maxAssignments);
    }

    /** Guards against storms: further assignments are a share of first ones. */
    boolean budgetSpent(Task task) {
        return task.tries > 0 && task.terms.budget != null && !task.terms.budget.allows(model.now);
    }

    /** Whether a second copy may join what is out. */
    boolean mayCopy(Task t) {
        return t.inFlight < t.terms.copies
                && t.tries < maxTries(t)
                && t.profile.effect == Profile.Effect.IDEMPOTENT
                && !budgetSpent(t);
    }

    /** Whether an assignment at a worker that hangs is called back, so that it may go elsewhere. */
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

    /** Begins a pause; false where it would outlast the task, which is then given up now. */
    boolean beginPause(Task task) {
        task.pausedAfter = task.tries;
        task.pauseUntil = model.now + task.terms.pause(task.tries, random.nextDouble());
        task.decideAt = task.pauseUntil;
        return task.pauseUntil < task.expiry;
    }
}
