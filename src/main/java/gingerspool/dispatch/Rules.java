package gingerspool.dispatch;

import java.util.SplittableRandom;

/** The decision rules. The Dispatcher applies them in order after each input until none matches. */
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

    /** The task being decided, or null if none is due. */
    private Task task;

    /** When to request the worker list; infinite while a request is open or the list is held. */
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

    /** Applies the rules until none matches, then schedules the next wake-up. */
    void applyAll() {
        do {
            task = pending.nextDue();
        } while (applyFirstMatching());
        pending.scheduleWake(model.listOnRequest ? listRequestAt : Double.POSITIVE_INFINITY);
    }

    /** The requested worker list has arrived completely. */
    void listAnswered() {
        listRequestAt = Double.POSITIVE_INFINITY;
        listRetryDelay = model.listRetryWindow / 20;
    }

    /** A list request failed: retries with jittered exponential backoff. */
    void listFailed() {
        listRequestAt = model.now + listRetryDelay * (0.5 + random.nextDouble());
        listRetryDelay = Math.min(2 * listRetryDelay, model.listRetryWindow / 2);
    }

    /** Applies the first rule whose condition holds to the due task; false if none does. */
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

    /** Sends a further copy (hedging) if terms, retry budget and minimum score allow it now. */
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

    /** No worker may take the task now: decides again shortly. */
    private void postpone() {
        // Guards the answer deadline: absurd hints lengthen this delay; the last start bounds it.
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
