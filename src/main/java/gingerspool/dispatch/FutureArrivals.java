package gingerspool.dispatch;

/** Estimates X: work of later arrivals that runs first on workers with priority queues. */
final class FutureArrivals {
    /** Histogram bins of running time and X; a bin is a quarter of the mean running time. */
    static final int BINS = 16;

    private static final double BINS_PER_RUN = 4;

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queue;
    private final LocalSends localSends;

    FutureArrivals(Estimates model, Speed speed, QueuedWork queue, LocalSends localSends) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
        this.queue = queue;
        this.localSends = localSends;
    }

    private int bin(double run) {
        return Math.min(BINS, Math.max(1, (int) Math.rint(run / model.meanWork * BINS_PER_RUN)));
    }

    /** Counts a job in the running-time and profile histograms; a refused job runs for 0 ms. */
    void recordJob(Assignment a, Outcome outcome) {
        if (model.byPriority) {
            int w = a.worker;
            fleet.runCounts[w][outcome == Outcome.FULL ? 0 : bin(a.run)]++;
            fleet.profileCounts[w][a.task.profile.index]++;
            Workers.halve(fleet.runCounts[w], Estimates.SAMPLES);
            Workers.halve(fleet.profileCounts[w], Estimates.SAMPLES);
        }
    }

    /** P(X at most x given a wait in the region), from a table rebuilt every REFRESH_PERIOD. */
    double notOvertaken(int w, Profile p, int region, double wait, double x) {
        if (wait <= 0) {
            return 1;
        }
        if (fleet.overtaken[w] == null) {
            fleet.overtaken[w] = new double[model.profiles.length][QueuedWork.REGIONS][BINS + 1];
            rebuildTables(w);
        } else if (model.now >= fleet.overtakenAt[w] + Reports.REFRESH_PERIOD * model.meanWork) {
            rebuildTables(w);
        }
        double[] cumulative = fleet.overtaken[w][p.index][region];
        return cumulative[Math.min(BINS, (int) (x / model.meanWork * BINS_PER_RUN))];
    }

    private void rebuildTables(int w) {
        fleet.overtakenAt[w] = model.now;
        double[] run = new double[BINS + 1];
        double total = Workers.sum(fleet.runCounts[w]) + BINS + 1;
        for (int i = 0; i <= BINS; i++) {
            run[i] = (fleet.runCounts[w][i] + 1) / total;
        }
        for (Profile q : model.profiles) {
            double lambda = higherPriorityRate(w, q) * model.meanWork / BINS_PER_RUN;
            for (int k = 0; k < QueuedWork.REGIONS; k++) {
                int bins = Math.max(1, bin(queue.waitInRegion(w, k)));
                BusyPeriods.fillProbabilities(bins, lambda, run, fleet.overtaken[w][q.index][k]);
            }
        }
    }

    /** Arrival rate per ms and slot of jobs with a higher priority (lambda_h in the design). */
    private double higherPriorityRate(int w, Profile profile) {
        double rate =
                Reports.isValid(fleet.reportedRate[w])
                        ? fleet.reportedRate[w] / 1000
                        : localSends.sendRate(w, 0) * model.dispatchers;
        double higher = 0;
        for (Profile q : model.profiles) {
            higher += q.priority > profile.priority ? fleet.profileCounts[w][q.index] + 1 : 0;
        }
        double jobs = Workers.sum(fleet.profileCounts[w]) + model.profiles.length;
        return rate * higher / speed.slotsOf(w) / jobs;
    }
}
