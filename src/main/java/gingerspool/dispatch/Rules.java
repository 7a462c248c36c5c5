package gingerspool.dispatch;

import java.util.SplittableRandom;

/** The rules, gone through in order after each input until none fires. */
final class Rules {
    private final Estimates known;
    private final Reports reports;
    private final ServerChoice choice;
    private final AdmissionPolicy givingUp;
    private final RetryPolicy tries;
    private final PendingTasks pending;
    private final Sender sender;
    private final SplittableRandom chance;
    private final DispatchActions out;

    /** The task that the rules look at, or null. */
    private Task task;

    /** When to ask for the list, without end while it is asked for or held. */
    private double askAt = Double.NEGATIVE_INFINITY;

    private double askGap;

    Rules(
            Estimates known,
            Reports reports,
            ServerChoice choice,
            AdmissionPolicy givingUp,
            RetryPolicy tries,
            PendingTasks pending,
            Sender sender,
            SplittableRandom chance,
            DispatchActions out) {
        this.known = known;
        this.reports = reports;
        this.choice = choice;
        this.givingUp = givingUp;
        this.tries = tries;
        this.pending = pending;
        this.sender = sender;
        this.chance = chance;
        this.out = out;
        askGap = known.askSpan / 20;
    }

    void settle() {
        do {
            task = pending.nextDue();
        } while (ruleFires());
        pending.planWake(known.listOnRequest ? askAt : Double.POSITIVE_INFINITY);
    }

    /** The list was asked for and has come whole. */
    void listAnswered() {
        askAt = Double.POSITIVE_INFINITY;
        askGap = known.askSpan / 20;
    }

    /** A call for the list failed: ask again, later each time. */
    void listFailed() {
        askAt = known.now + askGap * (0.5 + chance.nextDouble());
        askGap = Math.min(2 * askGap, known.askSpan / 2);
    }

    /** The rules, in order: the first whose condition holds acts, on the task that is due. */
    private boolean ruleFires() {
        if (known.listOnRequest && known.now >= askAt) {
            askAt = Double.POSITIVE_INFINITY;
            out.watchList();
        } else if (task == null) {
            return false;
        } else if (task.out > 0) {
            sendCopy();
        } else if (tries.mayNotRunAgain(task) || tries.budgetSpent(task)) {
            giveUp();
        } else if (tries.pauseDue(task)) {
            if (!tries.beginPause(task)) {
                giveUp();
            }
        } else if (nobodyReady()) {
            hold();
        } else if (reports.reportWanted(task, choice.best)) {
            reports.fetchReport(task, choice.best);
        } else if (givingUp.hopeless(task, choice.best, choice.bestChance)) {
            giveUp();
        } else {
            sender.send(task, choice.best);
        }
        return true;
    }

    /** A second copy, if the terms, the budget and the ordinary score allow one now. */
    private void sendCopy() {
        boolean allowed = tries.mayCopy(task);
        if (allowed) {
            choice.weigh(task);
        }
        if (allowed && choice.best >= 0 && choice.bestChance >= AdmissionPolicy.HOPELESS) {
            sender.send(task, choice.best);
        } else {
            pending.remove(task);
        }
    }

    private boolean nobodyReady() {
        choice.weigh(task);
        return !choice.anyReady && known.now + task.work < task.due;
    }

    /** Nobody may take it just now: look again shortly. */
    private void hold() {
        // Guards rule one: absurd hints make that long, and a task may not outwait its last chance.
        task.decideAt =
                Math.min(
                        known.now + Math.max(known.tick, known.meanWork / 8),
                        Math.max(known.now + known.tick, task.due - task.work));
    }

    private void giveUp() {
        task.ended = true;
        pending.remove(task);
        if (AdmissionPolicy.harmless(task)) {
            out.bounce(task, known.longestAdvice);
        } else {
            out.abandon(task);
        }
    }
}
