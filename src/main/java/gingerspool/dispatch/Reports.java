package gingerspool.dispatch;

/** Load reports: what one says of a worker, and when one is fetched. */
final class Reports {
    /** T_p, the period of fetching reports and renewing tables of X, in mean running times. */
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

    /** Corrects what is believed of the others' jobs by so many jobs, ours among them. */
    void updatePeerJobs(int w, double n) {
        localSends.smoothSlots(w);
        double before = queue.peerJobs(w);
        fleet.loadAt[w] = model.now;
        // Guards against flocking: all follow the same reports, so one moves a belief only so far.
        fleet.peerJobs[w] = before + (Math.max(0, n - fleet.smoothedSlots[w]) - before) / 3;
        int g = queue.group(w);
        fleet.groupPeerJobs[g] +=
                (fleet.peerJobs[w] / speed.slotsOf(w) - fleet.groupPeerJobs[g]) / Estimates.SAMPLES;
        int k = QueuedWork.region(queue.load(w, fleet.peerJobs[w]));
        for (int i = 0; i < QueuedWork.REGIONS; i++) {
            pairs.count(w, i, k, fleet.sendsByRegion[w][i]);
            fleet.sendsByRegion[w][i] = 0;
        }
    }

    /** Jobs as reported: in flight, which holds those waiting, else waiting and busy slots. */
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

    /** Whether the task should wait for reports: once, if the best worker's is older than T_p. */
    boolean needsReport(Task task, int best) {
        // Guards rule one: near its due time, which is never after its expiry, nothing waits.
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

    /** Guards against fetching what no task needs: only the best workers for it are asked. */
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
