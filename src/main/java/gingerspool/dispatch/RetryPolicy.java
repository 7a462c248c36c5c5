package gingerspool.dispatch;

import java.util.SplittableRandom;

/** Further assignments: whether a task's effect, its terms and its budget allow one, and when. */
final class RetryPolicy {
    private final Estimates known;
    private final SplittableRandom chance;

    RetryPolicy(Estimates known, SplittableRandom chance) {
        this.known = known;
        this.chance = chance;
    }

    /** Guards rule two: what may have run goes out again only as its profile allows. */
    boolean mayNotRunAgain(Task task) {
        return task.tries >= triesOf(task)
                || known.now >= task.expiry
                || !task.terms.goesAgainAfter(task.last)
                || task.ran != null
                        && (task.profile.effect == Profile.Effect.SIDE_EFFECTING
                                || task.profile.effect == Profile.Effect.FINGERPRINTED
                                        && known.now >= task.ran.sentAt + task.profile.window);
    }

    private int triesOf(Task t) {
        return Math.min(known.mostTries, t.terms.assignments);
    }

    /** Guards against storms: further assignments are a share of first ones. */
    boolean budgetSpent(Task task) {
        return task.tries > 0 && task.terms.budget != null && !task.terms.budget.allows(known.now);
    }

    /** Whether a second copy may join what is out. */
    boolean mayCopy(Task t) {
        return t.out < t.terms.copies
                && t.tries < triesOf(t)
                && t.profile.effect == Profile.Effect.IDEMPOTENT
                && !budgetSpent(t);
    }

    /** Whether an assignment at a worker that hangs is called back, so that it may go elsewhere. */
    boolean mayCallBack(Assignment a) {
        Task t = a.task;
        return a.peer < 0
                && !t.ended
                && !a.cancelled
                && Double.isNaN(a.startedAt)
                && t.tries < triesOf(t)
                && t.terms.goesAgainAfter(Outcome.CANCELLED)
                && t.profile.effect != Profile.Effect.SIDE_EFFECTING;
    }

    boolean pauseDue(Task task) {
        return task.tries > task.pausedAfter && task.terms.firstPause > 0;
    }

    /** Begins a pause; false where it would outlast the task, which is then given up now. */
    boolean beginPause(Task task) {
        task.pausedAfter = task.tries;
        task.pauseUntil = known.now + task.terms.pause(task.tries, chance.nextDouble());
        task.decideAt = task.pauseUntil;
        return task.pauseUntil < task.expiry;
    }
}
