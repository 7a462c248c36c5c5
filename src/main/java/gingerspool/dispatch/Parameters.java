package gingerspool.dispatch;

/** The deployment, as the few figures that decisions use. */
abstract class Parameters {
    /**
     * What telling others of sends may cost in service, and bytes of telling one's begin and end.
     */
    private static final double TELLS_WORTH = 0.02;

    private static final double TELLS = 32;

    /** What asking for reports may cost in service. */
    private static final double ASKS_WORTH = 0.006;

    final Profile[] profiles;
    final double[] allowance;
    final double excess;
    final boolean byWork;
    final int zone;
    final int dispatchers;
    final boolean listOnRequest;
    final boolean fetchesReports;
    final boolean fetchesAll;

    /** Workers that are asked for a report on behalf of one task. */
    final int asks;

    final boolean mayCancel;

    /** Share of our sends that the other dispatchers are told of. */
    final double tellShare;

    final boolean byPriority;
    final boolean tellsStart;
    final double progressEvery;
    final int mostTries;
    final double longestAdvice;
    final double askSpan;
    final double tick;
    final double coldFrom;
    final double warmWithin;
    final double budgetSpan;
    final double budgetShare;
    final double crossFee;
    final double worstWeight;

    /**
     * What learned figures of machines, of reports and of tasks rest on; they mean nothing
     * elsewhere.
     */
    final String basisOfMachines;

    final String basisOfReports;
    final String basisOfTasks;

    Parameters(DispatcherSettings s) {
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
        asks = (int) Math.max(1, Math.min(6, ASKS_WORTH / Math.max(s.probeFee, 1e-9)));
        mayCancel = s.mayCancel;
        tellShare =
                !s.mayTell || dispatchers < 2
                        ? 0
                        : Math.min(
                                1,
                                TELLS_WORTH
                                        * 256
                                        / (TELLS * Math.max(s.tellFee, 1e-9) * (dispatchers - 1)));
        byPriority = s.order == DispatcherSettings.Order.PRIORITY;
        tellsStart = s.tellsStart;
        progressEvery = s.progressEvery;
        mostTries = Math.max(1, s.mostAssignments);
        longestAdvice = s.mayAdvise ? s.maxAdvice : 0;
        tick = Math.max(s.tick, 0.1);
        askSpan = s.askWithin > 0 ? s.askWithin : 1000 * tick;
        coldFrom = s.coldFrom;
        warmWithin = s.warmWithin;
        budgetSpan = s.fallWindow;
        budgetShare = s.overloadFactor * s.fallWindow / dispatchers;
        crossFee = s.crossFee;
        worstWeight = s.worstProfile;
        basisOfMachines = String.join(",", s.kinds);
        basisOfReports =
                String.join(
                        " ",
                        basisOfMachines,
                        "at " + s.place,
                        s.order.toString(),
                        tellsStart ? "starts" : "",
                        s.reportsByProbe ? "probes" : s.reportsInAnswers ? "answers" : "",
                        String.join(",", s.reportNames));
        StringBuilder tasks =
                new StringBuilder(basisOfReports).append(byWork ? " by work" : " by task");
        for (Profile p : profiles) {
            tasks.append(", ").append(p);
        }
        basisOfTasks = tasks.toString();
    }
}
