package gingerspool.dispatch;

/** Load reports: what one says of a worker, and when one is fetched. */
final class Reports {
    /** T_p, the period of fetching reports and renewing tables of X, in mean running times. */
    static final double REFRESH = 0.5;

    private final Estimates known;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queued;
    private final LocalSends ownSends;
    private final PairTable pairs;
    private final DispatchActions out;

    Reports(
            Estimates known,
            Speed speed,
            QueuedWork queued,
            LocalSends ownSends,
            PairTable pairs,
            DispatchActions out) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
        this.queued = queued;
        this.ownSends = ownSends;
        this.pairs = pairs;
        this.out = out;
    }

    /** Corrects what is believed of the others' jobs by so many jobs, ours among them. */
    void heard(int w, double n) {
        ownSends.smoothOwn(w);
        double before = queued.othersNow(w);
        fleet.heardAt[w] = known.now;
        // Guards against flocking: all follow the same reports, so one moves a belief only so far.
        fleet.others[w] = before + (Math.max(0, n - fleet.ownSmooth[w]) - before) / 3;
        int g = queued.group(w);
        fleet.groupOthers[g] +=
                (fleet.others[w] / speed.slotsOf(w) - fleet.groupOthers[g]) / Estimates.SAMPLES;
        int k = QueuedWork.region(queued.load(w, fleet.others[w]));
        for (int i = 0; i < QueuedWork.K; i++) {
            pairs.count(w, i, k, fleet.sentIn[w][i]);
            fleet.sentIn[w][i] = 0;
        }
    }

    /** Jobs as reported: in flight, which holds those waiting, else waiting and busy slots. */
    double jobs(int w, double[] r) {
        known.reportsQueue |= sane(r[Report.QUEUE]) || sane(r[Report.IN_FLIGHT]);
        if (sane(r[Report.IN_FLIGHT])) {
            return Math.max(r[Report.IN_FLIGHT], sane(r[Report.QUEUE]) ? r[Report.QUEUE] : 0);
        }
        double busy =
                sane(r[Report.FREE_SLOTS])
                        ? Math.max(0, speed.slotsOf(w) - r[Report.FREE_SLOTS])
                        : sane(r[Report.UTILISATION])
                                ? r[Report.UTILISATION] * speed.slotsOf(w)
                                : Double.NaN;
        return sane(r[Report.QUEUE]) ? r[Report.QUEUE] + (Double.isNaN(busy) ? 0 : busy) : busy;
    }

    static boolean sane(double v) {
        return v >= 0 && v < 1e6;
    }

    /** Whether the task should wait for reports: once, if the best worker's is older than T_p. */
    boolean reportWanted(Task task, int best) {
        // Guards rule one: near its due time, which is never after its expiry, nothing waits.
        return known.fetchesReports
                && task.asked == null
                && best >= 0
                && old(best)
                && known.now + 4 * known.tick < task.due;
    }

    private boolean old(int w) {
        return known.now
                >= REFRESH * known.meanWork
                        + (known.fetchesAll
                                ? fleet.probedAt[w]
                                : Math.max(fleet.probedAt[w], fleet.answeredAt[w]));
    }

    /** Guards against fetching what no task needs: only the best workers for it are asked. */
    void fetchReport(Task task, int best) {
        task.asked = new int[0];
        for (int i = 0, next = best; i < known.asks && next >= 0; i++) {
            fleet.value[next] = Double.NEGATIVE_INFINITY;
            if (old(next)) {
                task.addAsked(next);
                if (!fleet.probing[next]) {
                    fleet.probing[next] = true;
                    fleet.probedAt[next] = known.now;
                    out.probe(next);
                }
            }
            next = fleet.highestValued();
        }
        task.decideAt =
                known.now + Math.max(9 * known.tick, (task.due - known.now - task.work) / 8);
    }
}
