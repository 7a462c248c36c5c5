package gingerspool.judge;

import java.util.Locale;

/**
 * The rule on operators' calls: a call that is owed a yes gets it in time. One that comes late is
 * laid beside the pauses that the play itself has written down.
 */
final class OperatorRules {
    /** Operators' calls are answered within this, under any load, in milliseconds. */
    private static final double ANSWER_WITHIN = 1000;

    private static final int YES = 200;
    private static final int NOTHING = 0;

    private final Records r;
    private final AnswerRules.Findings findings;

    OperatorRules(Records r, AnswerRules.Findings findings) {
        this.r = r;
        this.findings = findings;
    }

    void answers() {
        for (Records.OperatorCall call : r.operatorCalls) {
            double took = call.ended() - call.sent();
            boolean isLate = took > ANSWER_WITHIN + Judge.SLACK;
            if (call.owed() && (call.answer() != YES || isLate)) {
                findings.add(Judge.Rule.OPERATORS, "-", call.sent(), text(call, took), cause(call));
            }
        }
    }

    private Cause cause(Records.OperatorCall call) {
        if (isPaused(call)) {
            return Cause.SCHEDULER_PAUSED;
        }
        return isToolPaused(call) ? Cause.TOOL_LATE : Cause.UNEXPLAINED;
    }

    /**
     * Whether its scheduler, pauses not counted, said yes in time, or had less than its time when
     * the caller gave up.
     */
    private boolean isPaused(Records.OperatorCall call) {
        double took = call.ended() - call.sent();
        double paused =
                Spans.within(
                        r.disturbances.pausesOf(call.scheduler(), 0), call.sent(), call.ended());
        boolean gaveUp = call.answer() == NOTHING && took >= ANSWER_WITHIN - Judge.SLACK;
        return call.answer() == YES && took - paused <= ANSWER_WITHIN + Judge.SLACK
                || gaveUp && took - paused <= ANSWER_WITHIN - Judge.SLACK;
    }

    /** Whether the yes was in time but for the pauses of the caller. */
    private boolean isToolPaused(Records.OperatorCall call) {
        double took = call.ended() - call.sent();
        double paused = Spans.within(r.disturbances.toolPauses(), call.sent(), call.ended());
        return call.answer() == YES && took - paused <= ANSWER_WITHIN + Judge.SLACK;
    }

    private static String text(Records.OperatorCall call, double took) {
        return String.format(
                Locale.ROOT,
                "%s at scheduler %d was answered %s after %.0f ms, client line %d",
                call.path(),
                call.scheduler(),
                call.answer() == NOTHING ? "nothing" : call.answer(),
                took,
                call.line());
    }
}
