package gingerspool.judge;

import java.util.Locale;

/** The rule on operators' calls: a call that is owed a yes gets it in time. */
final class OperatorRules {
    /** Operators' calls are answered within this, under any load, in milliseconds. */
    private static final double ANSWER_WITHIN = 1000;

    private static final int YES = 200;

    private final Records r;
    private final WorkerRules.Breaches breaches;

    OperatorRules(Records r, WorkerRules.Breaches breaches) {
        this.r = r;
        this.breaches = breaches;
    }

    void answers() {
        for (Records.OperatorCall call : r.operatorCalls) {
            double took = call.ended() - call.sent();
            boolean isLate = took > ANSWER_WITHIN + Judge.SLACK;
            if (call.owed() && (call.answer() != YES || isLate)) {
                breaches.add(Judge.Rule.OPERATORS, "-", call.sent(), text(call, took));
            }
        }
    }

    private static String text(Records.OperatorCall call, double took) {
        return String.format(
                Locale.ROOT,
                "%s at scheduler %d was answered %s after %.0f ms, client line %d",
                call.path(),
                call.scheduler(),
                call.answer() == 0 ? "nothing" : call.answer(),
                took,
                call.line());
    }
}
