package gingerspool.dispatch;

import java.util.Arrays;

/** Notes what a load report says of a worker and passes its jobs on. */
final class ReportReader {
    private final Estimates known;
    private final Workers fleet;
    private final Reports reports;

    ReportReader(Estimates known, Reports reports) {
        this.known = known;
        fleet = known.fleet;
        this.reports = reports;
    }

    void reported(int w, double[] r) {
        if (r == null) {
            return;
        }
        known.reportsCome = true;
        double[] last = fleet.lastReport[w];
        fleet.answeredAt[w] = known.now;
        if (Arrays.equals(r, last) && known.now - fleet.heardAt[w] < 4 * known.meanWork) {
            return;
        }
        System.arraycopy(r, 0, last, 0, r.length);
        if (Reports.sane(r[Report.FREE_SLOTS])) {
            fleet.slots[w] = Math.max(fleet.slots[w], Math.rint(r[Report.FREE_SLOTS]));
            fleet.kindSlots[fleet.kindOf[w]] =
                    Math.max(fleet.kindSlots[fleet.kindOf[w]], fleet.slots[w]);
        }
        fleet.reportedRate[w] = r[Report.RATE];
        double n = reports.jobs(w, r);
        if (!Double.isNaN(n)) {
            reports.heard(w, n);
        }
    }
}
