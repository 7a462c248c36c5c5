package gingerspool.dispatch;

/** The design's score of a worker for a task: its chance of finishing the task in time. */
final class Score {
    /** Where running times are looked at, in standard deviations of their logarithm. */
    private static final double[] QUANTILES = {-1.15, -0.32, 0.32, 1.15};

    private final Estimates model;
    private final Speed speed;
    private final QueuedWork queue;
    private final PairTable pairs;
    private final FutureArrivals future;

    private final double[] works = new double[QUANTILES.length];
    private final double[] slack = new double[QUANTILES.length];
    private final double[] weights = new double[QUANTILES.length];
    private double totalWeight;

    Score(Estimates model, Speed speed, QueuedWork queue, PairTable pairs, FutureArrivals future) {
        this.model = model;
        this.speed = speed;
        this.queue = queue;
        this.pairs = pairs;
        this.future = future;
    }

    /**
     * The design's score: the sum over k up to l of P(X at most l - k) p(k given O). Departure: the
     * running time is only expected, so the score is the mean over likely values of it, each with
     * its own l.
     */
    double probabilityInTime(Task t, int w) {
        sampleWork(t);
        return probabilityAt(t, w);
    }

    /** The likely works of the task: the same for every worker. */
    void sampleWork(Task t) {
        double spread = Math.sqrt(model.runVar[t.profile.index]);
        totalWeight = 0;
        for (int q = 0; q < QUANTILES.length; q++) {
            works[q] = t.work * Math.exp(spread * (QUANTILES[q] - spread / 2));
            weights[q] = model.byWork ? works[q] : 1;
            totalWeight += weights[q];
        }
    }

    double probabilityAt(Task t, int w) {
        int r = queue.regionOf(w);
        double left = Math.min(t.due, t.expiry) - model.now;
        double pace = speed.pace(w);
        double fits = 0;
        for (int q = 0; q < QUANTILES.length; q++) {
            double due = left + t.profile.stretch * (works[q] - t.work);
            slack[q] = Math.min(due, t.expiry - model.now) - works[q] / pace;
        }
        double all = 0;
        for (int k = QueuedWork.region(queue.load(w, 0)); k < QueuedWork.REGIONS; k++) {
            double p = pairs.weight(w, r, k);
            double wait = queue.waitInRegion(w, k);
            all += p;
            for (int q = 0; q < QUANTILES.length; q++) {
                if (wait <= slack[q]) {
                    double x =
                            model.byPriority
                                    ? future.notOvertaken(w, t.profile, k, wait, slack[q] - wait)
                                    : 1;
                    fits += p * x * weights[q] / totalWeight;
                }
            }
        }
        return fits / all;
    }
}
