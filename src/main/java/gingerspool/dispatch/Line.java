package gingerspool.dispatch;

/**
 * One of a fixed number of lines in which tasks with an order stand, by their keys: the first has the turn
 * once all before it are over, have no assignment without an outcome, and have rested.
 */
final class Line {
    private final double rest;
    private Task first;
    private Task last;
    /** Assignments without an outcome of tasks that are over. */
    private int out;
    private double restUntil = Double.NEGATIVE_INFINITY;

    /** After an assignment that may still be running, later tasks wait for so long. */
    Line(double rest) {
        this.rest = rest;
    }

    void join(Task t) {
        t.line = this;
        t.stands = true;
        t.ahead = last;
        if (last == null) {
            first = t;
        } else {
            last.behind = t;
        }
        last = t;
    }

    /** The task is over, in turn or out of it; what it has out still counts. */
    void leave(Task t) {
        t.stands = false;
        out += t.out;
        restUntil = Math.max(restUntil, t.mayRunAt + rest);
        if (t.ahead == null) {
            first = t.behind;
        } else {
            t.ahead.behind = t.behind;
        }
        if (t.behind == null) {
            last = t.ahead;
        } else {
            t.behind.ahead = t.ahead;
        }
    }

    /** An assignment of this task has its outcome, after which it may still be running or not. */
    void ended(Task t, boolean mayRun, double now) {
        t.mayRunAt = mayRun ? now : t.mayRunAt;
        if (!t.stands) {
            out--;
            restUntil = Math.max(restUntil, t.mayRunAt + rest);
        }
    }

    boolean hasTurn(Task t, double now) {
        return t == first && out == 0 && now >= restUntil;
    }

    /** Whom to look at when something has changed, or null. */
    Task first() {
        return first;
    }

    double restUntil() {
        return restUntil;
    }

    /** Work expected of those before this task, on a standard core; a job hardly gets nearer its end. */
    double workBefore(Task t, double now) {
        double work = Math.max(0, restUntil - now);
        for (Task o = t.ahead; o != null; o = o.ahead) {
            double since = o.out > 0 ? now - o.sent[o.tries - 1].sentAt : 0;
            work += Math.max(o.work / 4, o.work - since);
        }
        return work;
    }
}
