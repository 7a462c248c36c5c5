package gingerspool.dispatch;

/** The deployment, as the few figures that decisions use. */
abstract class Figures {
    final Profile[] profiles;
    final double[] allowance;
    final double excess;
    final boolean byWork;
    final int zone;
    final int dispatchers;
    final boolean listOnRequest;
    final boolean fetchesReports;
    final boolean fetchesAll;
    final boolean mayCancel;
    final boolean byPriority;
    final boolean tellsStart;
    final int mostTries;
    final double longestAdvice;
    final double askSpan;
    final double tick;
    final double coldFrom;
    final double warmWithin;
    final double budgetSpan;
    final double budgetShare;
    final double crossFee;
    final double fetchFee;

    Figures(Settings s) {
        if (s.profiles.length == 0) {
            throw new IllegalArgumentException("settings without profiles");
        }
        profiles = s.profiles;
        allowance = s.allowance;
        excess = s.excessUtility;
        byWork = s.utilityByWork;
        zone = s.zone;
        dispatchers = Math.max(1, s.dispatchers);
        listOnRequest = s.listOnRequest;
        fetchesReports = s.mayProbe && (s.reportsByProbe || s.reportsInAnswers);
        fetchesAll = s.reportsByProbe;
        mayCancel = s.mayCancel;
        byPriority = s.order == Settings.Order.PRIORITY;
        tellsStart = s.tellsStart;
        mostTries = Math.max(1, s.mostAssignments);
        longestAdvice = s.mayAdvise ? s.maxAdvice : 0;
        tick = Math.max(s.tick, 0.1);
        askSpan = s.askWithin > 0 ? s.askWithin : 1000 * tick;
        coldFrom = s.coldFrom;
        warmWithin = s.warmWithin;
        budgetSpan = s.fallWindow;
        budgetShare = s.overloadFactor * s.fallWindow / dispatchers;
        crossFee = s.crossFee;
        fetchFee = s.fetchFee;
    }
}
