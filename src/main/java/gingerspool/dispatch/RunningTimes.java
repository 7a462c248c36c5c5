package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

/** Learning of running times: the work to expect of a task, and how fast workers do it. */
final class RunningTimes {
    /** What is kept of a sum at each new sample, where it looks back over eight times N_S. */
    private static final double SUM_DECAY = 1 - 1.0 / (8 * SAMPLES);

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;

    RunningTimes(Estimates model, Speed speed) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
    }

    /** Work to expect at a hint: far hints are drawn to the profile's mean, as runs show. */
    double workFromHint(int p, double hint) {
        double n = Math.min(++model.hintsSeen[p], 4 * SAMPLES);
        double x = Math.log(hint);
        model.profileWork[p] += (hint - model.profileWork[p]) / n;
        model.hintLogMean[p] += (x - model.hintLogMean[p]) / n;
        double power = hintExponent();
        double spreadWork = Math.exp(power * (x - model.hintLogMean[p]));
        model.hintWorkMean[p] += (spreadWork - model.hintWorkMean[p]) / n;
        double work = model.profileWork[p] * spreadWork / model.hintWorkMean[p];
        model.meanWork += (work - model.meanWork) / (2 * SAMPLES);
        return work;
    }

    private double hintExponent() {
        return Math.max(0, Math.min(1, model.hintRunCov / model.hintVar));
    }

    /** Learns how far hints can be believed, from a running time in standard work. */
    private void learnHint(int p, double hint, double work) {
        double y = Math.log(work);
        double n = Math.min(++model.runsSeen[p], 4 * SAMPLES);
        model.runLogMean[p] += (y - model.runLogMean[p]) / n;
        double x = Math.log(hint) - model.hintLogMean[p];
        model.hintVar = model.hintVar * SUM_DECAY + x * x;
        model.hintRunCov = model.hintRunCov * SUM_DECAY + x * (y - model.runLogMean[p]);
        double off = y - model.runLogMean[p] - x * hintExponent();
        model.runVar[p] += (off * off - model.runVar[p]) / (n + 8);
    }

    /** Learns from a running time, known by the start note or by a send that met a free slot. */
    void learnRun(Assignment a) {
        boolean noted = !Double.isNaN(a.startedAt);
        if (!noted && (model.notifiesStart || !a.sawFreeSlot)) {
            return;
        }
        double run = Math.max(model.tick, model.now - (noted ? a.startedAt : a.sentAt));
        int w = a.worker;
        int k = fleet.kindOf[w];
        int p = a.task.profile.index;
        double warm = speed.warmth(w, model.warmUp);
        if (a.task.hint <= 0) {
            // Without hints the fastest kind is the standard core: only the relation can be seen.
            model.standardPace = 0;
            for (int i = 0; i < fleet.kindWork.length; i++) {
                model.standardPace = Math.max(model.standardPace, speed.kindPace(i));
            }
            double n = Math.min(++model.runsSeen[p] + 8, 4 * SAMPLES);
            model.profileWork[p] += (run * speed.pace(w) - model.profileWork[p]) / n;
            double off = Math.log(run * speed.pace(w)) - model.runLogMean[p];
            model.runLogMean[p] += off / n;
            model.runVar[p] += (off * off - model.runVar[p]) / n;
            model.meanWork += (a.task.work - model.meanWork) / SAMPLES;
        } else {
            learnHint(p, a.task.hint, run * speed.pace(w));
        }
        // In logarithms, since running times are spread so widely that sums follow the few longest.
        double told =
                a.task.hint > 0 ? Math.log(a.task.work) - model.runVar[p] / 2 : model.runLogMean[p];
        double off = told - Math.log(run * warm * speed.kindPace(k) / model.standardPace);
        // Guards against a slowdown of all, which one worker's few answers show much too late.
        model.warmUp =
                warm < 1 ? Math.max(1, model.warmUp * Math.exp(off * 4 / SAMPLES)) : model.warmUp;
        double common = model.commonPace;
        if (a.task.hint > 0) {
            model.commonPace += (off - common) * 2 / SAMPLES - common / (4 * SAMPLES);
        }
        double weight = a.task.hint > 0 ? newestWeight() : 1.0 / SAMPLES;
        fleet.logPace[w] += (off - model.commonPace - fleet.logPace[w]) * 2 * weight;
        fleet.kindWork[k] = fleet.kindWork[k] * SUM_DECAY + a.task.work;
        fleet.kindRunTime[k] = fleet.kindRunTime[k] * SUM_DECAY + run * warm;
    }

    /** Progress tells how long the whole run will take. */
    void progressed(Assignment a, double share) {
        // Where starts are not told, the first progress tells one: it comes so long after it.
        if (Double.isNaN(a.startedAt) && !model.notifiesStart && model.progressInterval > 0) {
            a.startedAt = Math.max(a.sentAt, model.now - model.progressInterval);
        }
        if (share > 0 && share <= 1 && !Double.isNaN(a.startedAt)) {
            a.run = (model.now - a.startedAt) / share;
        }
    }

    /** Weight of the newest task in what shows strain: larger where few tasks come to us. */
    double newestWeight() {
        return Math.max(
                1.0 / SAMPLES, Math.min(4.0 / SAMPLES, model.arrivalGap / model.decaySpan()));
    }
}
