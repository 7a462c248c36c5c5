package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

/** Learning of running times: the work to expect of a task, and how fast workers do it. */
final class RunningTimes {
    /** What is kept of a sum at each new sample, where it looks back over eight times N_S. */
    private static final double KEPT = 1 - 1.0 / (8 * SAMPLES);

    private final Estimates known;
    private final Workers fleet;
    private final Speed speed;

    RunningTimes(Estimates known, Speed speed) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
    }

    /** Work to expect at a hint: far hints are drawn to the profile's mean, as runs show. */
    double fromHint(int p, double hint) {
        double n = Math.min(++known.hintsSeen[p], 4 * SAMPLES);
        double x = Math.log(hint);
        known.profileWork[p] += (hint - known.profileWork[p]) / n;
        known.hintLog[p] += (x - known.hintLog[p]) / n;
        double power = hintPower();
        double spreadWork = Math.exp(power * (x - known.hintLog[p]));
        known.hintWorkMean[p] += (spreadWork - known.hintWorkMean[p]) / n;
        double work = known.profileWork[p] * spreadWork / known.hintWorkMean[p];
        known.meanWork += (work - known.meanWork) / (2 * SAMPLES);
        return work;
    }

    private double hintPower() {
        return Math.max(0, Math.min(1, known.hintRun / known.hintVar));
    }

    /** Learns how far hints can be believed, from a running time in standard work. */
    private void learnHint(int p, double hint, double work) {
        double y = Math.log(work);
        double n = Math.min(++known.profileSeen[p], 4 * SAMPLES);
        known.runLog[p] += (y - known.runLog[p]) / n;
        double x = Math.log(hint) - known.hintLog[p];
        known.hintVar = known.hintVar * KEPT + x * x;
        known.hintRun = known.hintRun * KEPT + x * (y - known.runLog[p]);
        double off = y - known.runLog[p] - x * hintPower();
        known.runVar[p] += (off * off - known.runVar[p]) / (n + 8);
    }

    /** Learns from a running time, known by the start note or by a send that met a free slot. */
    void learnRun(Assignment a) {
        boolean noted = !Double.isNaN(a.startedAt);
        if (!noted && (known.tellsStart || !a.metFree)) {
            return;
        }
        double run = Math.max(known.tick, known.now - (noted ? a.startedAt : a.sentAt));
        int w = a.worker;
        int k = fleet.kindOf[w];
        int p = a.task.profile.index;
        double warm = speed.warmth(w, known.warmUp);
        if (a.task.hint <= 0) {
            // Without hints the fastest kind is the standard core: only the relation can be seen.
            known.standardPace = 0;
            for (int i = 0; i < fleet.kindWork.length; i++) {
                known.standardPace = Math.max(known.standardPace, speed.kindPace(i));
            }
            double n = Math.min(++known.profileSeen[p] + 8, 4 * SAMPLES);
            known.profileWork[p] += (run * speed.pace(w) - known.profileWork[p]) / n;
            double off = Math.log(run * speed.pace(w)) - known.runLog[p];
            known.runLog[p] += off / n;
            known.runVar[p] += (off * off - known.runVar[p]) / n;
            known.meanWork += (a.task.work - known.meanWork) / SAMPLES;
        } else {
            learnHint(p, a.task.hint, run * speed.pace(w));
        }
        // In logarithms, since running times are spread so widely that sums follow the few longest.
        double told =
                a.task.hint > 0 ? Math.log(a.task.work) - known.runVar[p] / 2 : known.runLog[p];
        double off = told - Math.log(run * warm * speed.kindPace(k) / known.standardPace);
        // Guards against a slowdown of all, which one worker's few answers show much too late.
        known.warmUp =
                warm < 1 ? Math.max(1, known.warmUp * Math.exp(off * 4 / SAMPLES)) : known.warmUp;
        double common = known.commonPace;
        if (a.task.hint > 0) {
            known.commonPace += (off - common) * 2 / SAMPLES - common / (4 * SAMPLES);
        }
        double weight = a.task.hint > 0 ? newest() : 1.0 / SAMPLES;
        fleet.ownPace[w] += (off - known.commonPace - fleet.ownPace[w]) * 2 * weight;
        fleet.kindWork[k] = fleet.kindWork[k] * KEPT + a.task.work;
        fleet.kindRun[k] = fleet.kindRun[k] * KEPT + run * warm;
    }

    /** Progress tells how long the whole run will take. */
    void progressed(Assignment a, double share) {
        // Where starts are not told, the first progress tells one: it comes so long after it.
        if (Double.isNaN(a.startedAt) && !known.tellsStart && known.progressEvery > 0) {
            a.startedAt = Math.max(a.sentAt, known.now - known.progressEvery);
        }
        if (share > 0 && share <= 1 && !Double.isNaN(a.startedAt)) {
            a.run = (known.now - a.startedAt) / share;
        }
    }

    /** Weight of the newest task in what shows strain: larger where few tasks come to us. */
    double newest() {
        return Math.max(
                1.0 / SAMPLES, Math.min(4.0 / SAMPLES, known.arrivalGap / known.fadeSpan()));
    }
}
