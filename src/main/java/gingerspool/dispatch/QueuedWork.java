package gingerspool.dispatch;

/** Estimates O, the work queued at a worker, and maps it to one of a few regions. */
final class QueuedWork {
    /** Upper bounds of the regions, as load (see load()); the last region is unbounded. */
    private static final double[] BOUNDS = {0.5, 1, 1.15, 1.35, 1.6, 2, 2.5, 3.5, 5, 7, 10, 14, 20};

    static final int REGIONS = BOUNDS.length + 1;

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;

    QueuedWork(Estimates model, Speed speed) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
    }

    /** Estimated jobs of peers: the last report, decaying to the group's mean with age. */
    double peerJobs(int w) {
        double mean = fleet.groupPeerJobs[group(w)] * speed.slotsOf(w);
        double freshness =
                Double.isNaN(fleet.loadAt[w])
                        ? 0
                        : Math.exp((fleet.loadAt[w] - model.now) / model.decaySpan());
        return mean + (fleet.peerJobs[w] - mean) * freshness;
    }

    /** Group by kind and local zone: one overall mean would follow the few workers probed most. */
    int group(int w) {
        return 2 * fleet.kindOf[w] + (fleet.zoneOf[w] == model.zone ? 0 : 1);
    }

    /** Region of the estimated work ahead of a new job at the worker. */
    int regionOf(int w) {
        double load = load(w, peerJobs(w));
        for (Assignment a = model.notifiesStart ? fleet.oldest[w] : null; a != null; a = a.next) {
            if (Double.isNaN(a.startedAt)) {
                load = Math.max(load, loadFromWait(w, model.now - a.sentAt));
                break;
            }
        }
        return region(load);
    }

    /**
     * Load O, with own sends at their remaining and peers' jobs at the mean running time: below 1
     * the share of busy slots, else 1 plus the wait in mean running times. That is the time to the
     * first end plus the backlog, shared by the slots that free up within a mean running time.
     */
    double load(int w, double peerJobs) {
        double slots = speed.slotsOf(w);
        if (!model.notifiesStart && peerJobs + fleet.inFlight[w] + 1 <= slots) {
            // Shortcut with the same result: every job has a slot and at least one is free.
            return (peerJobs + fleet.inFlight[w]) / slots;
        }
        double meanRun = model.meanWork / speed.pace(w);
        double busy = Math.min(slots, peerJobs);
        double endRate = busy / meanRun;
        double turnover = busy;
        double backlog = (peerJobs - busy) * meanRun;
        for (Assignment a = fleet.oldest[w]; a != null; a = a.next) {
            double remaining = remainingRun(a);
            if (busy + 1 <= slots
                    && (!model.notifiesStart
                            || !Double.isNaN(a.startedAt)
                            || model.now - a.sentAt < meanRun / 4)) {
                busy++;
                endRate += 1 / remaining;
                turnover += Math.min(1, meanRun / remaining);
            } else {
                backlog += remaining;
            }
        }
        return backlog == 0 && busy + 1 <= slots
                ? busy / slots
                : 1 + (1 / endRate + backlog / Math.max(0.25, turnover)) / meanRun;
    }

    /** Remaining running time; without a hint, elapsed time says little about the remainder. */
    private double remainingRun(Assignment a) {
        double since = Double.isNaN(a.startedAt) ? a.sentAt + a.wait : a.startedAt;
        return Math.max(
                a.run - Math.max(0, model.now - since), a.run * (a.task.hint > 0 ? 0.25 : 0.75));
    }

    static int region(double load) {
        int k = 0;
        while (k < BOUNDS.length && load >= BOUNDS[k]) {
            k++;
        }
        return k;
    }

    /** Wait in ms at a region's midpoint; 0 below load 1, where the worker has a free slot. */
    double waitInRegion(int w, int k) {
        if (k < 2) {
            return 0;
        }
        double mid = k == REGIONS - 1 ? 1.25 * BOUNDS[k - 1] : (BOUNDS[k - 1] + BOUNDS[k]) / 2;
        return model.meanWork / speed.pace(w) * (mid - 1);
    }

    /** Load implied by a wait, less a quarter of a mean running time for connecting. */
    double loadFromWait(int w, double wait) {
        return 1 + wait * speed.pace(w) / model.meanWork - 0.25;
    }
}
