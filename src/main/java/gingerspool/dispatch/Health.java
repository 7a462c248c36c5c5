package gingerspool.dispatch;

/** Tracks the health of workers: recent failures, overdue sends, backoff, overdue probes. */
final class Health {
    private final Estimates model;
    private final Workers fleet;

    Health(Estimates model) {
        this.model = model;
        fleet = model.fleet;
    }

    /** Score factor from 0 to 1: lowered by failures and by an overdue oldest send. */
    double reliability(int w, int p) {
        double trust = 1 - failRate(w, p);
        Assignment a = fleet.oldest[w];
        double lag = a == null ? 0 : (model.now - a.sentAt) / (a.wait + 3 * a.run + model.tick);
        return lag > 1 ? trust / lag : trust;
    }

    /** Decayed share of failures; more failures in a row decay more slowly. */
    double failRate(int w, int p) {
        if (fleet.failRate[w][p] == 0) {
            return 0;
        }
        double span = Estimates.SAMPLES * model.tick * 20 * Math.max(1, fleet.failsInRow[w][p]);
        return fleet.failRate[w][p] * Math.exp((fleet.failRateAt[w][p] - model.now) / span);
    }

    /** A successful answer lowers the failure rate and resets the backoff. */
    void answered(int w, int p) {
        fleet.failRate[w][p] = failRate(w, p) * 0.8;
        fleet.failRateAt[w][p] = model.now;
        fleet.failsInRow[w][p] = 0;
        fleet.avoidSpan[w] = 0;
        fleet.answeredAt[w] = model.now;
    }

    /** A failure counts for its profile, and a third as much for the others. */
    void failed(int w, int profile) {
        for (int p = 0; p < model.profiles.length; p++) {
            double rate = failRate(w, p);
            fleet.failsInRow[w][p] += p == profile ? 1 : 0;
            fleet.failRate[w][p] = rate + (p == profile ? 0.3 : 0.1) * (1 - rate);
            fleet.failRateAt[w][p] = model.now;
        }
    }

    /** Exponential backoff of 1 to 16 mean running times. */
    void avoid(int w) {
        fleet.avoidSpan[w] =
                Math.min(Math.max(model.meanWork, 2 * fleet.avoidSpan[w]), 16 * model.meanWork);
        fleet.avoidUntil[w] = model.now + fleet.avoidSpan[w];
    }

    /** Detects workers that hang: other reports arrive within a few ticks. */
    boolean isProbeOverdue(int w) {
        return fleet.probing[w] && model.now > fleet.probedAt[w] + 8 * model.tick;
    }
}
