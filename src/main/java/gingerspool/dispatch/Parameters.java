package gingerspool.dispatch;

/** The parameters that decisions use, derived from the {@link DispatcherSettings}. */
abstract class Parameters {
    /** Share of the service that messages to peers may cost. */
    private static final double MAX_PEER_MESSAGE_COST = 0.02;

    /** Bytes for announcing the start and the end of one send. */
    private static final double PEER_MESSAGE_BYTES = 32;

    /** Share of the service that probing for reports may cost. */
    private static final double MAX_PROBE_COST = 0.006;

    final Profile[] profiles;

    /** Tasks per second that each tenant may send, and the utility share of tasks beyond that. */
    final double[] allowance;

    final double excessUtility;

    /** Whether utility counts per work, else per task. */
    final boolean byWork;

    final int zone;
    final int dispatchers;
    final boolean listOnRequest;

    /** Whether workers may be probed and a probe yields a report. */
    final boolean fetchesReports;

    /** Whether probes are the way to get reports; else every answer counts as a fresh one too. */
    final boolean reportsByProbe;

    /** Maximum number of workers probed for a report on behalf of one task. */
    final int probesPerTask;

    final boolean mayCancel;

    /** Share of our sends that is announced to the other dispatchers. */
    final double announceShare;

    /** Whether workers order their queues by priority. */
    final boolean byPriority;

    /** Whether workers send a notice when a task starts. */
    final boolean notifiesStart;

    final double progressInterval;
    final int maxTries;
    final double maxRetryAfter;

    /** Span within which a failed list request is retried at least once, in ms. */
    final double listRetryWindow;

    /** Time resolution of the host, in ms. */
    final double tick;

    /** Share of its capacity that a worker has at its start. */
    final double coldShare;

    final double warmUpSpan;

    /** Window of the cold budget in ms; 0: no limit. */
    final double coldWindow;

    /** Cold budget of this dispatcher per warm slot and window, in work. */
    final double coldBudget;

    /** Cost of sending to another zone, in shares of the mean worth. */
    final double zoneFee;

    /** Weight of the worst-served profile in the goal, from 0 to below 1. */
    final double worstWeight;

    /**
     * Settings that the learned estimates of machines, reports and tasks depend on: they are
     * restored only by a process with the same text.
     */
    final String basisOfMachines;

    final String basisOfReports;
    final String basisOfTasks;

    Parameters(DispatcherSettings settings) {
        if (settings.profiles.length == 0) {
            throw new IllegalArgumentException("dispatcher settings contain no task profile");
        }
        profiles = settings.profiles;
        allowance = settings.allowance;
        excessUtility = settings.excessUtility;
        byWork = settings.utilityByWork;
        zone = settings.zone;
        dispatchers = Math.max(1, settings.dispatchers);
        listOnRequest = settings.listOnRequest;
        fetchesReports =
                settings.mayProbe && (settings.reportsByProbe || settings.reportsInAnswers);
        reportsByProbe = settings.reportsByProbe;
        probesPerTask =
                (int) Math.max(1, Math.min(6, MAX_PROBE_COST / Math.max(settings.probeFee, 1e-9)));
        mayCancel = settings.mayCancel;
        announceShare =
                !settings.mayMessagePeers || dispatchers < 2
                        ? 0
                        : Math.min(
                                1,
                                MAX_PEER_MESSAGE_COST
                                        * 256
                                        / (PEER_MESSAGE_BYTES
                                                * Math.max(settings.peerMessageFee, 1e-9)
                                                * (dispatchers - 1)));
        byPriority = settings.order == DispatcherSettings.Order.PRIORITY;
        notifiesStart = settings.notifiesStart;
        progressInterval = settings.progressInterval;
        maxTries = Math.max(1, settings.maxAssignments);
        maxRetryAfter = settings.mayAdviseRetryAfter ? settings.maxRetryAfter : 0;
        tick = Math.max(settings.tick, 0.1);
        listRetryWindow = settings.listRequestWindow > 0 ? settings.listRequestWindow : 1000 * tick;
        coldShare = settings.coldShare;
        warmUpSpan = settings.warmUpSpan;
        coldWindow = settings.coldWindow;
        coldBudget = settings.overloadFactor * settings.coldWindow / dispatchers;
        zoneFee = settings.zoneFee;
        worstWeight = settings.worstProfileWeight;
        basisOfMachines = String.join(",", settings.kinds);
        basisOfReports =
                String.join(
                        " ",
                        basisOfMachines,
                        "at " + settings.zoneName,
                        settings.order.toString(),
                        notifiesStart ? "starts" : "",
                        settings.reportsByProbe
                                ? "probes"
                                : settings.reportsInAnswers ? "answers" : "",
                        String.join(",", settings.reportNames));
        StringBuilder tasks =
                new StringBuilder(basisOfReports).append(byWork ? " by work" : " by task");
        for (Profile p : profiles) {
            tasks.append(", ").append(p);
        }
        basisOfTasks = tasks.toString();
    }
}
