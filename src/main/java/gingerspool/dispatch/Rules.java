package gingerspool.dispatch;

import java.util.SplittableRandom;

/** The rules, gone through in order after each input until none fires. */
final class Rules {
    private final Estimates model;
    private final Reports reports;
    private final ServerChoice choice;
    private final AdmissionPolicy admission;
    private final RetryPolicy retryPolicy;
    private final PendingTasks pending;
    private final Sender sender;
    private final SplittableRandom random;
    private final DispatchActions actions;

    /** The task that the rules look at, or null. */
    private Task task;

    /** When to ask for the list, without end while it is asked for or held. */
    private double listRequestAt = Double.NEGATIVE_INFINITY;

    private double listRetryDelay;

    Rules(
            Estimates model,
            Reports reports,
            ServerChoice choice,
            AdmissionPolicy admission,
            RetryPolicy retryPolicy,
            PendingTasks pending,
            Sender sender,
            SplittableRandom random,
            DispatchActions actions) {
        this.model = model;
        this.reports = reports;
        this.choice = choice;
        this.admission = admission;
        this.retryPolicy = retryPolicy;
        this.pending = pending;
        this.sender = sender;
        this.random = random;
        this.actions = actions;
        listRetryDelay = model.listRetryWindow / 20;
    }

    void applyAll() {
        do {
            task = pending.nextDue();
        } while (applyFirstMatching());
        pending.planWake(model.listOnRequest ? listRequestAt : Double.POSITIVE_INFINITY);
    }

    /** The list was asked for and has come whole. */
    void listAnswered() {
        listRequestAt = Double.POSITIVE_INFINITY;
        listRetryDelay = model.listRetryWindow / 20;
    }

    /** A call for the list failed: ask again, later each time. */
    void listFailed() {
        listRequestAt = model.now + listRetryDelay * (0.5 + random.nextDouble());
        listRetryDelay = Math.min(2 * listRetryDelay, model.listRetryWindow / 2);
    }

    /** The rules, in order: the first whose condition holds acts, on the task that is due. */
    private boolean applyFirstMatching() {
        if (model.listOnRequest && model.now >= listRequestAt) {
            listRequestAt = Double.POSITIVE_INFINITY;
            actions.watchList();
        } else if (task == null) {
            return false;
        } else if (task.inFlight > 0) {
            sendCopy();
        } else if (retryPolicy.isRetryForbidden(task) || retryPolicy.budgetSpent(task)) {
            giveUp();
        } else if (retryPolicy.pauseDue(task)) {
            if (!retryPolicy.beginPause(task)) {
                giveUp();
            }
        } else if (noWorkerReady()) {
            postpone();
        } else if (reports.needsReport(task, choice.best)) {
            reports.fetchReports(task, choice.best);
        } else if (admission.shouldGiveUp(task, choice.best, choice.bestScore)) {
            giveUp();
        } else {
            sender.send(task, choice.best);
        }
        return true;
    }

    /** A second copy, if the terms, the budget and the ordinary score allow one now. */
    private void sendCopy() {
        boolean allowed = retryPolicy.mayCopy(task);
        if (allowed) {
            choice.choose(task);
        }
        if (allowed && choice.best >= 0 && choice.bestScore >= AdmissionPolicy.MIN_SCORE) {
            sender.send(task, choice.best);
        } else {
            pending.remove(task);
        }
    }

    private boolean noWorkerReady() {
        choice.choose(task);
        return !choice.anyReady && model.now + task.work < task.due;
    }

    /** Nobody may take it just now: look again shortly. */
    private void postpone() {
        // Guards rule one: absurd hints make that long, and a task may not outwait its last chance.
        task.decideAt =
                Math.min(
                        model.now + Math.max(model.tick, model.meanWork / 8),
                        Math.max(model.now + model.tick, task.due - task.work));
    }

    private void giveUp() {
        task.ended = true;
        pending.remove(task);
        if (AdmissionPolicy.isRetrySafe(task)) {
            actions.bounce(task, model.maxRetryAfter);
        } else {
            actions.abandon(task);
        }
    }
}
