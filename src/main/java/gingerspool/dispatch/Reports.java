package gingerspool.dispatch;

/** Load reports: updates the load estimates from them and decides when to fetch one. */
final class Reports {
    /** Period T_p of fetching reports and rebuilding tables of X, in mean running times. */
    static final double REFRESH_PERIOD = 0.5;

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queue;
    private final LocalSends localSends;
    private final PairTable pairs;
    private final DispatchActions actions;

    Reports(
            Estimates model,
            Speed speed,
            QueuedWork queue,
            LocalSends localSends,
            PairTable pairs,
            DispatchActions actions) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
        this.queue = queue;
        this.localSends = localSends;
        this.pairs = pairs;
        this.actions = actions;
    }

    /** Corrects the estimate of peers' jobs by the reported job count, which includes ours. */
    void updatePeerJobs(int w, double jobs) {
        localSends.smoothSlots(w);
        double previous = queue.peerJobs(w);
        fleet.loadAt[w] = model.now;
        // Guards against herding: all see the same reports, so each applies a third of the change.
        fleet.peerJobs[w] = previous + (Math.max(0, jobs - fleet.smoothedSlots[w]) - previous) / 3;
        int g = queue.group(w);
        fleet.groupPeerJobs[g] +=
                (fleet.peerJobs[w] / speed.slotsOf(w) - fleet.groupPeerJobs[g]) / Estimates.SAMPLES;
        int region = QueuedWork.region(queue.load(w, fleet.peerJobs[w]));
        for (int i = 0; i < QueuedWork.REGIONS; i++) {
            pairs.count(w, i, region, fleet.sendsByRegion[w][i]);
            fleet.sendsByRegion[w][i] = 0;
        }
    }

    /** Job count of report r: in flight (includes queued), else queued plus busy slots. */
    double reportedJobs(int w, double[] r) {
        model.reportsShowQueues |= isValid(r[Report.QUEUE]) || isValid(r[Report.IN_FLIGHT]);
        if (isValid(r[Report.IN_FLIGHT])) {
            return Math.max(r[Report.IN_FLIGHT], isValid(r[Report.QUEUE]) ? r[Report.QUEUE] : 0);
        }
        double busy =
                isValid(r[Report.FREE_SLOTS])
                        ? Math.max(0, speed.slotsOf(w) - r[Report.FREE_SLOTS])
                        : isValid(r[Report.UTILISATION])
                                ? r[Report.UTILISATION] * speed.slotsOf(w)
                                : Double.NaN;
        return isValid(r[Report.QUEUE]) ? r[Report.QUEUE] + (Double.isNaN(busy) ? 0 : busy) : busy;
    }

    static boolean isValid(double v) {
        return v >= 0 && v < 1e6;
    }

    /** Whether to wait for reports first: once per task, if the best worker's is older than T_p. */
    boolean needsReport(Task task, int best) {
        // Guards the answer deadline: near its due time, at latest its expiry, no task waits.
        return model.fetchesReports
                && task.probedWorkers == null
                && best >= 0
                && isStale(best)
                && model.now + 4 * model.tick < task.due;
    }

    private boolean isStale(int w) {
        return model.now
                >= REFRESH_PERIOD * model.meanWork
                        + (model.reportsByProbe
                                ? fleet.probedAt[w]
                                : Math.max(fleet.probedAt[w], fleet.answeredAt[w]));
    }

    /** Probes only the best workers for the task, to avoid fetching unneeded reports. */
    void fetchReports(Task task, int best) {
        task.probedWorkers = new int[0];
        for (int i = 0, next = best; i < model.probesPerTask && next >= 0; i++) {
            fleet.score[next] = Double.NEGATIVE_INFINITY;
            if (isStale(next)) {
                task.addProbed(next);
                if (!fleet.probing[next]) {
                    fleet.probing[next] = true;
                    fleet.probedAt[next] = model.now;
                    actions.probe(next);
                }
            }
            next = fleet.highestScored();
        }
        task.decideAt =
                model.now + Math.max(9 * model.tick, (task.due - model.now - task.work) / 8);
    }
}
