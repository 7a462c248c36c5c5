package gingerspool.dispatch;

/** The deployment, as the few figures that decisions use. */
abstract class Parameters {
    /**
     * What telling others of sends may cost in service, and bytes of telling one's begin and end.
     */
    private static final double MAX_PEER_MESSAGE_COST = 0.02;

    private static final double PEER_MESSAGE_BYTES = 32;

    /** What asking for reports may cost in service. */
    private static final double MAX_PROBE_COST = 0.006;

    final Profile[] profiles;
    final double[] allowance;
    final double excessUtility;
    final boolean byWork;
    final int zone;
    final int dispatchers;
    final boolean listOnRequest;
    final boolean fetchesReports;
    final boolean reportsByProbe;

    /** Workers that are asked for a report on behalf of one task. */
    final int probesPerTask;

    final boolean mayCancel;

    /** Share of our sends that the other dispatchers are told of. */
    final double announceShare;

    final boolean byPriority;
    final boolean notifiesStart;
    final double progressInterval;
    final int maxTries;
    final double maxRetryAfter;
    final double listRetryWindow;
    final double tick;
    final double coldShare;
    final double warmUpSpan;
    final double coldWindow;
    final double coldBudget;
    final double zoneFee;
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
        excessUtility = s.excessUtility;
        byWork = s.utilityByWork;
        zone = s.zone;
        dispatchers = Math.max(1, s.dispatchers);
        listOnRequest = s.listOnRequest;
        fetchesReports = s.mayProbe && (s.reportsByProbe || s.reportsInAnswers);
        reportsByProbe = s.reportsByProbe;
        probesPerTask = (int) Math.max(1, Math.min(6, MAX_PROBE_COST / Math.max(s.probeFee, 1e-9)));
        mayCancel = s.mayCancel;
        announceShare =
                !s.mayTell || dispatchers < 2
                        ? 0
                        : Math.min(
                                1,
                                MAX_PEER_MESSAGE_COST
                                        * 256
                                        / (PEER_MESSAGE_BYTES
                                                * Math.max(s.tellFee, 1e-9)
                                                * (dispatchers - 1)));
        byPriority = s.order == DispatcherSettings.Order.PRIORITY;
        notifiesStart = s.tellsStart;
        progressInterval = s.progressEvery;
        maxTries = Math.max(1, s.mostAssignments);
        maxRetryAfter = s.mayAdvise ? s.maxAdvice : 0;
        tick = Math.max(s.tick, 0.1);
        listRetryWindow = s.askWithin > 0 ? s.askWithin : 1000 * tick;
        coldShare = s.coldFrom;
        warmUpSpan = s.warmWithin;
        coldWindow = s.fallWindow;
        coldBudget = s.overloadFactor * s.fallWindow / dispatchers;
        zoneFee = s.crossFee;
        worstWeight = s.worstProfile;
        basisOfMachines = String.join(",", s.kinds);
        basisOfReports =
                String.join(
                        " ",
                        basisOfMachines,
                        "at " + s.place,
                        s.order.toString(),
                        notifiesStart ? "starts" : "",
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
