package gingerspool.dispatch;

import java.util.Arrays;

/** Notes what a load report says of a worker and passes its jobs on. */
final class ReportReader {
    private final Estimates model;
    private final Workers fleet;
    private final Reports reports;

    ReportReader(Estimates model, Reports reports) {
        this.model = model;
        fleet = model.fleet;
        this.reports = reports;
    }

    void reported(int w, double[] r) {
        if (r == null) {
            return;
        }
        model.reportsReceived = true;
        double[] last = fleet.lastReport[w];
        fleet.answeredAt[w] = model.now;
        if (Arrays.equals(r, last) && model.now - fleet.loadAt[w] < 4 * model.meanWork) {
            return;
        }
        System.arraycopy(r, 0, last, 0, r.length);
        if (Reports.isValid(r[Report.FREE_SLOTS])) {
            fleet.slots[w] = Math.max(fleet.slots[w], Math.rint(r[Report.FREE_SLOTS]));
            fleet.kindSlots[fleet.kindOf[w]] =
                    Math.max(fleet.kindSlots[fleet.kindOf[w]], fleet.slots[w]);
        }
        fleet.reportedRate[w] = r[Report.RATE];
        double n = reports.reportedJobs(w, r);
        if (!Double.isNaN(n)) {
            reports.updatePeerJobs(w, n);
        }
    }
}
