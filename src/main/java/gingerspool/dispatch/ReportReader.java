package gingerspool.dispatch;

import java.util.Arrays;

/** Reads a load report: updates slots and rate of the worker and passes the job count on. */
final class ReportReader {
    private final Estimates model;
    private final Workers fleet;
    private final Reports reports;

    ReportReader(Estimates model, Reports reports) {
        this.model = model;
        fleet = model.fleet;
        this.reports = reports;
    }

    void reported(int w, double[] report) {
        if (report == null) {
            return;
        }
        model.reportsReceived = true;
        double[] last = fleet.lastReport[w];
        fleet.answeredAt[w] = model.now;
        if (Arrays.equals(report, last) && model.now - fleet.loadAt[w] < 4 * model.meanWork) {
            return;
        }
        System.arraycopy(report, 0, last, 0, report.length);
        if (Reports.isValid(report[Report.FREE_SLOTS])) {
            fleet.slots[w] = Math.max(fleet.slots[w], Math.rint(report[Report.FREE_SLOTS]));
            fleet.kindSlots[fleet.kindOf[w]] =
                    Math.max(fleet.kindSlots[fleet.kindOf[w]], fleet.slots[w]);
        }
        fleet.reportedRate[w] = report[Report.RATE];
        double jobs = reports.reportedJobs(w, report);
        if (!Double.isNaN(jobs)) {
            reports.updatePeerJobs(w, jobs);
        }
    }
}
