package gingerspool.dispatch;

/** What a worker can be trusted with: failures lately, overdue sends, back-off, silence. */
final class Health {
    private final Estimates model;
    private final Workers fleet;

    Health(Estimates model) {
        this.model = model;
        fleet = model.fleet;
    }

    double reliability(int w, int p) {
        double t = 1 - failRate(w, p);
        Assignment a = fleet.oldest[w];
        double late = a == null ? 0 : (model.now - a.sentAt) / (a.wait + 3 * a.run + model.tick);
        return late > 1 ? t / late : t;
    }

    /** Share of failures lately; the more in a row, the longer it is remembered. */
    double failRate(int w, int p) {
        if (fleet.failRate[w][p] == 0) {
            return 0;
        }
        double span = Estimates.SAMPLES * model.tick * 20 * Math.max(1, fleet.failsInRow[w][p]);
        return fleet.failRate[w][p] * Math.exp((fleet.failRateAt[w][p] - model.now) / span);
    }

    /** An answer came: failures weigh less, and it is avoided no longer. */
    void answered(int w, int p) {
        fleet.failRate[w][p] = failRate(w, p) * 0.8;
        fleet.failRateAt[w][p] = model.now;
        fleet.failsInRow[w][p] = 0;
        fleet.avoidSpan[w] = 0;
        fleet.answeredAt[w] = model.now;
    }

    /** An error counts for its profile, and for a third of that for the others. */
    void failed(int w, int profile) {
        for (int p = 0; p < model.profiles.length; p++) {
            double f = failRate(w, p);
            fleet.failsInRow[w][p] += p == profile ? 1 : 0;
            fleet.failRate[w][p] = f + (p == profile ? 0.3 : 0.1) * (1 - f);
            fleet.failRateAt[w][p] = model.now;
        }
    }

    void avoid(int w) {
        fleet.avoidSpan[w] =
                Math.min(Math.max(model.meanWork, 2 * fleet.avoidSpan[w]), 16 * model.meanWork);
        fleet.avoidUntil[w] = model.now + fleet.avoidSpan[w];
    }

    /** Guards against workers that hang: other reports come in a few turns, theirs never. */
    boolean isProbeOverdue(int w) {
        return fleet.probing[w] && model.now > fleet.probedAt[w] + 8 * model.tick;
    }
}
