package gingerspool.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** The tasks that wait for a decision, and the timer that brings us back to them. */
final class PendingTasks {
    private final Estimates model;
    private final DispatchActions actions;
    private final List<Task> tasks = new ArrayList<>();
    private double wakeAt = Double.POSITIVE_INFINITY;

    PendingTasks(Estimates model, DispatchActions actions) {
        this.model = model;
        this.actions = actions;
    }

    /** Adds a task that is to be looked at now. */
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

    /** The first task whose time to be looked at has come, or null; drops those that have ended. */
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

    /** Whoever waits is looked at anew, since other workers may take it now. */
    void reconsiderAll() {
        for (Task t : tasks) {
            t.decideAt = t.inFlight > 0 ? t.decideAt : Math.max(model.now, t.pauseUntil);
        }
    }

    /** This worker's report came: tasks that waited for nothing else are looked at. */
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
        boolean its = false;
        for (int i = 0; t.probedWorkers != null && i < t.probedWorkers.length; i++) {
            its |= t.probedWorkers[i] == w;
            if (model.fleet.probing[t.probedWorkers[i]]) {
                return false;
            }
        }
        return its;
    }

    /**
     * Guards against waiting forever: hosts count time in steps, so a timer may fire a little
     * before it.
     */
    void woken() {
        wakeAt = model.now > wakeAt - model.tick / 2 ? Double.POSITIVE_INFINITY : wakeAt;
    }

    /** Asks to be woken for the next task, or at this time if that is sooner. */
    void planWake(double other) {
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
