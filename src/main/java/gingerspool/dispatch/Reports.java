package gingerspool.dispatch;

import java.util.Arrays;

/** Load reports: what one says of a worker, and when one is fetched. */
final class Reports {
    /**
     * T_p, the period of fetching reports and of renewing the tables of X, in mean running times.
     */
    static final double REFRESH = 0.5;

    private final Learned known;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queued;
    private final OwnSends ownSends;
    private final PairTable pairs;
    private final Outlet out;

    Reports(
            Learned known,
            Speed speed,
            QueuedWork queued,
            OwnSends ownSends,
            PairTable pairs,
            Outlet out) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
        this.queued = queued;
        this.ownSends = ownSends;
        this.pairs = pairs;
        this.out = out;
    }

    void reported(int w, double[] r) {
        if (r == null) {
            return;
        }
        known.reportsCome = true;
        double[] last = fleet.lastReport[w];
        fleet.answeredAt[w] = known.now;
        if (Arrays.equals(r, last) && known.now - fleet.heardAt[w] < 4 * known.mixWork) {
            return;
        }
        System.arraycopy(r, 0, last, 0, r.length);
        if (r[Report.FREE_SLOTS] >= 0 && r[Report.FREE_SLOTS] < 1e6) {
            fleet.slots[w] = Math.max(fleet.slots[w], Math.rint(r[Report.FREE_SLOTS]));
            fleet.kindSlots[fleet.kindOf[w]] =
                    Math.max(fleet.kindSlots[fleet.kindOf[w]], fleet.slots[w]);
        }
        fleet.reportedRate[w] = r[Report.RATE];
        double n = jobs(w, r);
        if (!Double.isNaN(n)) {
            heard(w, n);
        }
    }

    private void heard(int w, double n) {
        ownSends.smoothOwn(w);
        double before = queued.othersNow(w);
        fleet.heardAt[w] = known.now;
        // Guards against flocking after reports that all dispatchers follow: one moves a belief
        // only so far.
        fleet.others[w] = before + (Math.max(0, n - fleet.ownSmooth[w]) - before) / 3;
        int g = queued.group(w);
        fleet.groupOthers[g] +=
                (fleet.others[w] / speed.slotsOf(w) - fleet.groupOthers[g]) / Learned.SAMPLES;
        int k = QueuedWork.region(queued.load(w, fleet.others[w]));
        for (int i = 0; i < QueuedWork.K; i++) {
            pairs.count(w, i, k, fleet.sentIn[w][i]);
            fleet.sentIn[w][i] = 0;
        }
    }

    /**
     * Jobs at the worker as reported: in flight, which holds those waiting, else waiting and busy
     * slots.
     */
    private double jobs(int w, double[] r) {
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
        // Guards rule one: near its due time, which is never after its expiry, a task does not
        // wait.
        return known.fetchesReports
                && task.asked == null
                && best >= 0
                && old(best)
                && known.now + 4 * known.tick < task.due;
    }

    private boolean old(int w) {
        return known.now
                >= REFRESH * known.mixWork
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
                task.asked = Arrays.copyOf(task.asked, task.asked.length + 1);
                task.asked[task.asked.length - 1] = next;
                if (!fleet.probing[next]) {
                    fleet.probing[next] = true;
                    fleet.probedAt[next] = known.now;
                    out.probe(next);
                }
            }
            next = -1;
            for (int w = 0; w < fleet.count; w++) {
                next =
                        fleet.value[w] > (next < 0 ? Double.NEGATIVE_INFINITY : fleet.value[next])
                                ? w
                                : next;
            }
        }
        task.lookAt = known.now + Math.max(9 * known.tick, (task.due - known.now - task.work) / 8);
    }

    /** Whether this worker's report was the last one that the task waited for. */
    boolean told(Task t, int w) {
        boolean its = false;
        for (int i = 0; t.asked != null && i < t.asked.length; i++) {
            its |= t.asked[i] == w;
            if (fleet.probing[t.asked[i]]) {
                return false;
            }
        }
        return its;
    }
}
