package gingerspool.dispatch;

/** The design's score of a worker for a task: its chance of finishing the task in time. */
final class Score {
    /** Where running times are looked at, in standard deviations of their logarithm. */
    private static final double[] LIKELY = {-1.15, -0.32, 0.32, 1.15};

    private final Estimates known;
    private final Speed speed;
    private final QueuedWork queued;
    private final PairTable pairs;
    private final FutureArrivals later;

    private final double[] likely = new double[LIKELY.length];
    private final double[] allowed = new double[LIKELY.length];
    private final double[] weight = new double[LIKELY.length];
    private double shares;

    Score(Estimates known, Speed speed, QueuedWork queued, PairTable pairs, FutureArrivals later) {
        this.known = known;
        this.speed = speed;
        this.queued = queued;
        this.pairs = pairs;
        this.later = later;
    }

    /**
     * The design's score: the sum over k up to l of P(X at most l - k) p(k given O). Departure: the
     * running time is only expected, so the score is the mean over likely values of it, each with
     * its own l.
     */
    double inTime(Task t, int w) {
        prepare(t);
        return chanceAt(t, w);
    }

    /** The likely works of the task: the same for every worker. */
    void prepare(Task t) {
        double spread = Math.sqrt(known.runVar[t.profile.index]);
        shares = 0;
        for (int q = 0; q < LIKELY.length; q++) {
            likely[q] = t.work * Math.exp(spread * (LIKELY[q] - spread / 2));
            weight[q] = known.byWork ? likely[q] : 1;
            shares += weight[q];
        }
    }

    double chanceAt(Task t, int w) {
        int r = queued.regionOf(w);
        double left = Math.min(t.due, t.expiry) - known.now;
        double pace = speed.pace(w);
        double fits = 0;
        for (int q = 0; q < LIKELY.length; q++) {
            double due = left + t.profile.stretch * (likely[q] - t.work);
            allowed[q] = Math.min(due, t.expiry - known.now) - likely[q] / pace;
        }
        double all = 0;
        for (int k = QueuedWork.region(queued.load(w, 0)); k < QueuedWork.K; k++) {
            double p = pairs.weight(w, r, k);
            double wait = queued.waitAt(w, k);
            all += p;
            for (int q = 0; q < LIKELY.length; q++) {
                if (wait <= allowed[q]) {
                    double x =
                            known.byPriority
                                    ? later.notOvertaken(w, t.profile, k, wait, allowed[q] - wait)
                                    : 1;
                    fits += p * x * weight[q] / shares;
                }
            }
        }
        return fits / all;
    }
}
