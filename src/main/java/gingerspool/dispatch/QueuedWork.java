package gingerspool.dispatch;

/** O, the work believed queued at a worker, and the K regions that it is cut into. */
final class QueuedWork {
    /** Upper ends of the K regions of O, in shares of a worker's slots; the last is open. */
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

    /** The others' jobs: what was heard fades to their mean as it ages; unheard, it is the mean. */
    double peerJobs(int w) {
        double mean = fleet.groupPeerJobs[group(w)] * speed.slotsOf(w);
        double fresh =
                Double.isNaN(fleet.loadAt[w])
                        ? 0
                        : Math.exp((fleet.loadAt[w] - model.now) / model.decaySpan());
        return mean + (fleet.peerJobs[w] - mean) * fresh;
    }

    /** Workers of a kind, here or elsewhere: a mean of all would follow the few mostly asked. */
    int group(int w) {
        return 2 * fleet.kindOf[w] + (fleet.zoneOf[w] == model.zone ? 0 : 1);
    }

    /** O: the work believed ahead of a new job at the worker, as a region. */
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
     * O with our unfinished sends at their own expected rest and so many jobs of others at the mean
     * running time: below 1 the share of busy slots, from 1 on the wait in mean running times. The
     * next slot is free as the first running job ends; what waits is shared by slots whose jobs end
     * within a mean running time.
     */
    double load(int w, double ofOthers) {
        double n = speed.slotsOf(w);
        if (!model.notifiesStart && ofOthers + fleet.inFlight[w] + 1 <= n) {
            // Every job has a slot, and there is one more: the long way round comes to the same.
            return (ofOthers + fleet.inFlight[w]) / n;
        }
        double mean = model.meanWork / speed.pace(w);
        double busy = Math.min(n, ofOthers);
        double ending = busy / mean;
        double turning = busy;
        double queue = (ofOthers - busy) * mean;
        for (Assignment a = fleet.oldest[w]; a != null; a = a.next) {
            double rest = remainingRun(a);
            if (busy + 1 <= n
                    && (!model.notifiesStart
                            || !Double.isNaN(a.startedAt)
                            || model.now - a.sentAt < mean / 4)) {
                busy++;
                ending += 1 / rest;
                turning += Math.min(1, mean / rest);
            } else {
                queue += rest;
            }
        }
        return queue == 0 && busy + 1 <= n
                ? busy / n
                : 1 + (1 / ending + queue / Math.max(0.25, turning)) / mean;
    }

    /** Running time still expected: a job without a hint hardly gets nearer its end by running. */
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

    /** The wait at a region's midpoint; a worker has several servers: a free slot means none. */
    double waitInRegion(int w, int k) {
        if (k < 2) {
            return 0;
        }
        double mid = k == REGIONS - 1 ? 1.25 * BOUNDS[k - 1] : (BOUNDS[k - 1] + BOUNDS[k]) / 2;
        return model.meanWork / speed.pace(w) * (mid - 1);
    }

    /** The load that a wait tells; connecting takes the first part of a mean run. */
    double loadFromWait(int w, double wait) {
        return 1 + wait * speed.pace(w) / model.meanWork - 0.25;
    }
}
