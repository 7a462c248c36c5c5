package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

/** Learns running times: the expected work of tasks and the pace of workers. */
final class RunningTimes {
    /** Decay of a sum at each new sample, for a window of 8 * SAMPLES. */
    private static final double SUM_DECAY = 1 - 1.0 / (8 * SAMPLES);

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;

    RunningTimes(Estimates model, Speed speed) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
    }

    /** Expected work given a hint, shrunk toward the profile's mean as far as past runs suggest. */
    double workFromHint(int p, double hint) {
        double samples = Math.min(++model.hintsSeen[p], 4 * SAMPLES);
        double logHint = Math.log(hint);
        model.profileWork[p] += (hint - model.profileWork[p]) / samples;
        model.hintLogMean[p] += (logHint - model.hintLogMean[p]) / samples;
        double exponent = hintExponent();
        double scaledWork = Math.exp(exponent * (logHint - model.hintLogMean[p]));
        model.hintWorkMean[p] += (scaledWork - model.hintWorkMean[p]) / samples;
        double work = model.profileWork[p] * scaledWork / model.hintWorkMean[p];
        model.meanWork += (work - model.meanWork) / (2 * SAMPLES);
        return work;
    }

    private double hintExponent() {
        return Math.max(0, Math.min(1, model.hintRunCov / model.hintVar));
    }

    /** Learns how reliable hints are, from a running time converted to standard work. */
    private void learnHint(int p, double hint, double work) {
        double logRun = Math.log(work);
        double samples = Math.min(++model.runsSeen[p], 4 * SAMPLES);
        model.runLogMean[p] += (logRun - model.runLogMean[p]) / samples;
        double hintDev = Math.log(hint) - model.hintLogMean[p];
        model.hintVar = model.hintVar * SUM_DECAY + hintDev * hintDev;
        model.hintRunCov = model.hintRunCov * SUM_DECAY + hintDev * (logRun - model.runLogMean[p]);
        double residual = logRun - model.runLogMean[p] - hintDev * hintExponent();
        model.runVar[p] += (residual * residual - model.runVar[p]) / (samples + 8);
    }

    /** Learns from a running time, measured from the start notice or a send to a free slot. */
    void learnRun(Assignment a) {
        boolean startKnown = !Double.isNaN(a.startedAt);
        if (!startKnown && (model.notifiesStart || !a.sawFreeSlot)) {
            return;
        }
        double run = Math.max(model.tick, model.now - (startKnown ? a.startedAt : a.sentAt));
        int w = a.worker;
        int k = fleet.kindOf[w];
        int p = a.task.profile.index;
        double warm = speed.warmth(w, model.warmUp);
        if (a.task.hint <= 0) {
            // Without hints only relative paces are visible: the fastest kind is the standard core.
            model.standardPace = 0;
            for (int i = 0; i < fleet.kindWork.length; i++) {
                model.standardPace = Math.max(model.standardPace, speed.kindPace(i));
            }
            double samples = Math.min(++model.runsSeen[p] + 8, 4 * SAMPLES);
            model.profileWork[p] += (run * speed.pace(w) - model.profileWork[p]) / samples;
            double error = Math.log(run * speed.pace(w)) - model.runLogMean[p];
            model.runLogMean[p] += error / samples;
            model.runVar[p] += (error * error - model.runVar[p]) / samples;
            model.meanWork += (a.task.work - model.meanWork) / SAMPLES;
        } else {
            learnHint(p, a.task.hint, run * speed.pace(w));
        }
        // In logarithms, since sums of widely spread running times follow the few longest.
        double expected =
                a.task.hint > 0 ? Math.log(a.task.work) - model.runVar[p] / 2 : model.runLogMean[p];
        double error = expected - Math.log(run * warm * speed.kindPace(k) / model.standardPace);
        // commonPace guards against a fleet-wide slowdown, which one worker shows much too late.
        model.warmUp =
                warm < 1 ? Math.max(1, model.warmUp * Math.exp(error * 4 / SAMPLES)) : model.warmUp;
        double previous = model.commonPace;
        if (a.task.hint > 0) {
            model.commonPace += (error - previous) * 2 / SAMPLES - previous / (4 * SAMPLES);
        }
        double weight = a.task.hint > 0 ? newestWeight() : 1.0 / SAMPLES;
        fleet.logPace[w] += (error - model.commonPace - fleet.logPace[w]) * 2 * weight;
        fleet.kindWork[k] = fleet.kindWork[k] * SUM_DECAY + a.task.work;
        fleet.kindRunTime[k] = fleet.kindRunTime[k] * SUM_DECAY + run * warm;
    }

    /** Extrapolates the running time from the reported share of progress. */
    void progressed(Assignment a, double share) {
        // Without start notices, the first progress report implies a start one interval earlier.
        if (Double.isNaN(a.startedAt) && !model.notifiesStart && model.progressInterval > 0) {
            a.startedAt = Math.max(a.sentAt, model.now - model.progressInterval);
        }
        if (share > 0 && share <= 1 && !Double.isNaN(a.startedAt)) {
            a.run = (model.now - a.startedAt) / share;
        }
    }

    /** Weight of the newest task in measures of strain: larger when few tasks arrive. */
    double newestWeight() {
        return Math.max(
                1.0 / SAMPLES, Math.min(4.0 / SAMPLES, model.arrivalGap / model.decaySpan()));
    }
}
