package gingerspool.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** The tasks waiting for a decision, in the order added, and the timer for the next decision. */
final class PendingTasks {
    private final Estimates model;
    private final DispatchActions actions;
    private final List<Task> tasks = new ArrayList<>();
    private double wakeAt = Double.POSITIVE_INFINITY;

    PendingTasks(Estimates model, DispatchActions actions) {
        this.model = model;
        this.actions = actions;
    }

    /** Adds a task to be decided now. */
    void add(Task t) {
        t.decideAt = model.now;
        if (!t.pending) {
            t.pending = true;
            tasks.add(t);
        }
    }

    void remove(Task t) {
        t.pending = false;
        tasks.remove(t);
    }

    /** The first task whose decision is due, or null; drops ended tasks. */
    Task nextDue() {
        for (Iterator<Task> i = tasks.iterator(); i.hasNext(); ) {
            Task t = i.next();
            if (t.ended) {
                t.pending = false;
                i.remove();
            } else if (t.decideAt <= model.now) {
                return t;
            }
        }
        return null;
    }

    /** Makes all tasks due that neither pause nor wait to send a copy. */
    void reconsiderAll() {
        for (Task t : tasks) {
            t.decideAt = t.inFlight > 0 ? t.decideAt : Math.max(model.now, t.pauseUntil);
        }
    }

    /** Makes those tasks due for which this worker's report was the last one awaited. */
    void reconsiderAfterReport(int w) {
        for (Task t : tasks) {
            t.decideAt =
                    t.inFlight == 0 && waitedFor(t, w)
                            ? Math.max(model.now, t.pauseUntil)
                            : t.decideAt;
        }
    }

    /** Whether this worker's report was the last one that the task waited for. */
    private boolean waitedFor(Task t, int w) {
        boolean probed = false;
        for (int i = 0; t.probedWorkers != null && i < t.probedWorkers.length; i++) {
            probed |= t.probedWorkers[i] == w;
            if (model.fleet.probing[t.probedWorkers[i]]) {
                return false;
            }
        }
        return probed;
    }

    /**
     * Handles the timer. Guards against waiting forever: host clocks have a limited resolution, so
     * a timer may fire slightly early.
     */
    void woken() {
        wakeAt = model.now > wakeAt - model.tick / 2 ? Double.POSITIVE_INFINITY : wakeAt;
    }

    /** Schedules a wake-up for the next due task, or at the other time if that is sooner. */
    void scheduleWake(double other) {
        double next = other;
        for (int i = 0; i < tasks.size(); i++) {
            next = Math.min(next, tasks.get(i).decideAt);
        }
        if (next < wakeAt) {
            wakeAt = Math.max(next, model.now + model.tick);
            actions.wakeAfter(wakeAt - model.now);
        }
    }
}
