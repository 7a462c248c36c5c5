package gingerspool.dispatch;

/** X: later work that runs first, on workers that order by priority. */
final class FutureArrivals {
    /** Bins of running time and of X; a bin is a quarter of the mean running time. */
    static final int BINS = 16;

    private static final double BINS_PER_RUN = 4;

    private final Estimates known;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queued;
    private final LocalSends ownSends;

    FutureArrivals(Estimates known, Speed speed, QueuedWork queued, LocalSends ownSends) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
        this.queued = queued;
        this.ownSends = ownSends;
    }

    private int bin(double run) {
        return Math.min(BINS, Math.max(1, (int) Math.rint(run / known.meanWork * BINS_PER_RUN)));
    }

    /** Notes a job for the mixes of running times and profiles; one turned away runs for zero. */
    void note(Assignment a, Outcome how) {
        if (known.byPriority) {
            int w = a.worker;
            fleet.mixRun[w][how == Outcome.FULL ? 0 : bin(a.run)]++;
            fleet.mixProfile[w][a.task.profile.index]++;
            Workers.halve(fleet.mixRun[w], Estimates.SAMPLES);
            Workers.halve(fleet.mixProfile[w], Estimates.SAMPLES);
        }
    }

    /** P(X at most x given a wait of k), from a table that is renewed every T_p. */
    double notOvertaken(int w, Profile p, int region, double wait, double x) {
        if (wait <= 0) {
            return 1;
        }
        if (fleet.overtaken[w] == null) {
            fleet.overtaken[w] = new double[known.profiles.length][QueuedWork.K][BINS + 1];
            renew(w);
        } else if (known.now >= fleet.overtakenAt[w] + Reports.REFRESH * known.meanWork) {
            renew(w);
        }
        double[] within = fleet.overtaken[w][p.index][region];
        return within[Math.min(BINS, (int) (x / known.meanWork * BINS_PER_RUN))];
    }

    private void renew(int w) {
        fleet.overtakenAt[w] = known.now;
        double[] run = new double[BINS + 1];
        double all = Workers.sum(fleet.mixRun[w]) + BINS + 1;
        for (int i = 0; i <= BINS; i++) {
            run[i] = (fleet.mixRun[w][i] + 1) / all;
        }
        for (Profile q : known.profiles) {
            double lambda = tighterRate(w, q) * known.meanWork / BINS_PER_RUN;
            for (int k = 0; k < QueuedWork.K; k++) {
                int bins = Math.max(1, bin(queued.waitAt(w, k)));
                BusyPeriods.within(bins, lambda, run, fleet.overtaken[w][q.index][k]);
            }
        }
    }

    /** lambda_h a slot: the rate of jobs there times the share of those with a higher priority. */
    private double tighterRate(int w, Profile profile) {
        double rate =
                Reports.sane(fleet.reportedRate[w])
                        ? fleet.reportedRate[w] / 1000
                        : ownSends.sendRate(w, 0) * known.dispatchers;
        double higher = 0;
        for (Profile o : known.profiles) {
            higher += o.prio > profile.prio ? fleet.mixProfile[w][o.index] + 1 : 0;
        }
        double jobs = Workers.sum(fleet.mixProfile[w]) + known.profiles.length;
        return rate * higher / speed.slotsOf(w) / jobs;
    }
}
