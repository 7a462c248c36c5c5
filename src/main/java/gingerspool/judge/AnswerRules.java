package gingerspool.judge;

import java.util.List;
import java.util.Locale;

/**
 * The rule on answers: each request that was written whole gets one before its expiry. A late or
 * missing answer is laid beside the disturbances that the play itself has written down.
 */
final class AnswerRules {
    /** Takes what is found. */
    interface Findings {
        void add(Judge.Rule rule, String task, double at, String what, Cause cause);
    }

    /**
     * How soon after a pause an answer is owed that fell due in it, in ms. The pages let each time
     * limit on sockets be 50 ms longer; a process that goes on works off what came meanwhile, one
     * limit after the other, and gets four more for that. A first version, not yet measured.
     */
    static final double ANSWERS_AFTER_PAUSE = 250;

    /** How long after a scheduler was killed its connections break. */
    private static final double BREAKS = 500;

    /** SIGKILL comes no later than this after SIGTERM. */
    private static final double LEAVES = 6000;

    private static final String DRAIN = "/v1/scheduler/drain";

    private final Records r;
    private final Findings findings;
    private final SignsOfLife signs;

    AnswerRules(Records r, Findings findings) {
        this.r = r;
        this.findings = findings;
        signs = new SignsOfLife(r.tries);
    }

    void answers() {
        for (Records.Try t : r.tries) {
            String lines = "client line " + t.line();
            if (t.isAnswered()) {
                if (t.at() > t.expiry() + Judge.SLACK) {
                    late(t, t.at(), text("answered %s %.1f ms after its expiry, ", t) + lines);
                }
            } else if (t.status().equals("none") && t.scheduler() >= 0 && !killed(t)) {
                String what = "no answer at all by scheduler " + t.scheduler() + ", " + lines;
                late(t, t.expiry(), what);
            } else if (t.status().equals("broke") && !killed(t) && !crossed(t)) {
                String what =
                        "its connection to scheduler "
                                + t.scheduler()
                                + " ended without an answer, "
                                + lines;
                findings.add(Judge.Rule.ONE_ANSWER, t.id(), t.at(), what, Cause.UNEXPLAINED);
            }
        }
    }

    private static String text(String form, Records.Try t) {
        return String.format(Locale.ROOT, form, t.status(), t.at() - t.expiry());
    }

    // ---- Causes ----

    /** An answer that came late, or by the time at which its client gave up not at all. */
    private void late(Records.Try t, double at, String what) {
        Spans.Span pause = pauseOf(t);
        Spans.Span tool = pause == null ? toolLate(t) : null;
        Cause cause =
                pause != null
                        ? Cause.SCHEDULER_PAUSED
                        : tool != null ? Cause.TOOL_LATE : Cause.UNEXPLAINED;
        findings.add(
                Judge.Rule.ONE_ANSWER, t.id(), at, what + "; " + because(t, pause, tool), cause);
    }

    private String because(Records.Try t, Spans.Span pause, Spans.Span tool) {
        if (pause != null) {
            return String.format(
                    Locale.ROOT,
                    "its scheduler was paused from %.1f to %.1f ms, %s %.1f ms after it went on",
                    pause.from() - r.begun,
                    pause.until() - r.begun,
                    t.isAnswered() ? "answered" : "given up",
                    t.at() - pause.until());
        }
        if (tool != null) {
            return String.format(
                    Locale.ROOT,
                    "the tool was late from %.1f to %.1f ms",
                    tool.from() - r.begun,
                    tool.until() - r.begun);
        }
        return "unexplained";
    }

    /**
     * The pause that the answer fell due in, if it came, or was given up, within the bound after
     * it; else null. A process that is paused again within the bound has had no time to answer.
     */
    private Spans.Span pauseOf(Records.Try t) {
        for (Spans.Span p : r.disturbances.pausesOf(t.scheduler(), ANSWERS_AFTER_PAUSE)) {
            boolean fellDue = p.from() <= t.expiry();
            if (fellDue && t.at() >= p.from() && t.at() <= p.until() + ANSWERS_AFTER_PAUSE) {
                return p;
            }
        }
        return null;
    }

    /**
     * The span in which the tool was late and showed no sign of life, if that covers the time from
     * the expiry to the noted answer, or began as the request was written and delayed it by as
     * much; else null. Lateness of the tool's loop alone delays no noted answer: another thread
     * reads and times those.
     */
    private Spans.Span toolLate(Records.Try t) {
        for (Spans.Span s : r.disturbances.toolLate(Judge.SLACK)) {
            Spans.Span atExpiry = silent(s, t.expiry() + Judge.SLACK);
            boolean coversAnswer =
                    s.from() <= t.expiry() + Judge.SLACK
                            && atExpiry.until() >= t.at() - Judge.SLACK;
            if (coversAnswer) {
                return atExpiry;
            }
            Spans.Span atWriting = silent(s, t.written());
            boolean coversWriting = s.overlaps(t.written(), t.written());
            boolean delayedSoMuch =
                    t.at() - t.expiry() <= atWriting.until() - t.written() + Judge.SLACK;
            if (coversWriting && delayedSoMuch) {
                return atWriting;
            }
        }
        return null;
    }

    /** The span up to the tool's first sign of life after this time. */
    private Spans.Span silent(Spans.Span span, double after) {
        return new Spans.Span(span.from(), Math.min(span.until(), signs.firstAfter(after)));
    }

    // ---- Ends of connections ----

    /**
     * Its scheduler was killed while it was out: what it had taken is lost, which no program can
     * help.
     */
    private boolean killed(Records.Try t) {
        for (Records.Befell b : r.schedulers) {
            if (b.scheduler() == t.scheduler()
                    && b.what().endsWith("killed")
                    && b.at() >= t.sent() - BREAKS
                    && b.at() <= t.at()) {
                return true;
            }
        }
        return false;
    }

    /**
     * It was written to a kept connection as its scheduler, which was leaving, closed that: never
     * read.
     */
    private boolean crossed(Records.Try t) {
        for (Records.Befell b : r.schedulers) {
            boolean leaves =
                    b.what().equals("terminated")
                            || b.what().equals("replaced")
                            || b.what().equals("drained");
            if (b.scheduler() == t.scheduler()
                    && leaves
                    && t.reused()
                    && t.at() >= leavesFrom(b)
                    && t.at() <= b.at() + LEAVES
                    && r.byTask.getOrDefault(t.id(), List.of()).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /**
     * A scheduler closes connections from the moment that it reads the call to drain, which is
     * before its yes is noted.
     */
    private double leavesFrom(Records.Befell b) {
        if (!b.what().equals("drained")) {
            return b.at();
        }
        return r.operatorCalls.stream()
                .filter(call -> call.scheduler() == b.scheduler())
                .filter(call -> call.path().equals(DRAIN) && call.sent() <= b.at())
                .mapToDouble(Records.OperatorCall::sent)
                .max()
                .orElse(b.at());
    }
}
