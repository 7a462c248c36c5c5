package gingerspool.dispatch;

/** What a worker can be trusted with: failures lately, overdue sends, back-off, silence. */
final class Health {
    private final Estimates known;
    private final Workers fleet;

    Health(Estimates known) {
        this.known = known;
        fleet = known.fleet;
    }

    double trust(int w, int p) {
        double t = 1 - failNow(w, p);
        Assignment a = fleet.oldest[w];
        double late = a == null ? 0 : (known.now - a.sentAt) / (a.wait + 3 * a.run + known.tick);
        return late > 1 ? t / late : t;
    }

    /** Share of failures lately; the more in a row, the longer it is remembered. */
    double failNow(int w, int p) {
        if (fleet.fail[w][p] == 0) {
            return 0;
        }
        double span = Estimates.SAMPLES * known.tick * 20 * Math.max(1, fleet.failRow[w][p]);
        return fleet.fail[w][p] * Math.exp((fleet.failAt[w][p] - known.now) / span);
    }

    /** An answer came: failures weigh less, and it is avoided no longer. */
    void answered(int w, int p) {
        fleet.fail[w][p] = failNow(w, p) * 0.8;
        fleet.failAt[w][p] = known.now;
        fleet.failRow[w][p] = 0;
        fleet.avoidSpan[w] = 0;
        fleet.answeredAt[w] = known.now;
    }

    /** An error counts for its profile, and for a third of that for the others. */
    void failed(int w, int profile) {
        for (int p = 0; p < known.profiles.length; p++) {
            double f = failNow(w, p);
            fleet.failRow[w][p] += p == profile ? 1 : 0;
            fleet.fail[w][p] = f + (p == profile ? 0.3 : 0.1) * (1 - f);
            fleet.failAt[w][p] = known.now;
        }
    }

    void avoid(int w) {
        fleet.avoidSpan[w] =
                Math.min(Math.max(known.meanWork, 2 * fleet.avoidSpan[w]), 16 * known.meanWork);
        fleet.avoidUntil[w] = known.now + fleet.avoidSpan[w];
    }

    /** Guards against workers that hang: other reports come in a few turns, theirs never. */
    boolean silent(int w) {
        return fleet.probing[w] && known.now > fleet.probedAt[w] + 8 * known.tick;
    }
}
