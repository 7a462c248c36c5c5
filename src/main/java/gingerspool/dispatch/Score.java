package gingerspool.dispatch;

/** The score of a worker for a task: the probability that it finishes the task in time. */
final class Score {
    /** Quantiles at which running times are sampled, in standard deviations of their logarithm. */
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
     * Sum over regions k up to the slack l of P(X at most l - k) p(k given O), as in the design.
     * Departure from it: the running time is only an estimate, so the score is the mean over
     * sampled running times, each with its own l.
     */
    double probabilityInTime(Task t, int w) {
        sampleWork(t);
        return probabilityAt(t, w);
    }

    /** Samples the task's work; the samples serve all workers scored next. */
    void sampleWork(Task t) {
        double deviation = Math.sqrt(model.runVar[t.profile.index]);
        totalWeight = 0;
        for (int q = 0; q < QUANTILES.length; q++) {
            works[q] = t.work * Math.exp(deviation * (QUANTILES[q] - deviation / 2));
            weights[q] = model.byWork ? works[q] : 1;
            totalWeight += weights[q];
        }
    }

    /** Probability that the worker finishes the task given to sampleWork() in time. */
    double probabilityAt(Task t, int w) {
        int believed = queue.regionOf(w);
        double timeLeft = Math.min(t.due, t.expiry) - model.now;
        double pace = speed.pace(w);
        double inTime = 0;
        for (int q = 0; q < QUANTILES.length; q++) {
            double due = timeLeft + t.profile.stretch * (works[q] - t.work);
            slack[q] = Math.min(due, t.expiry - model.now) - works[q] / pace;
        }
        double total = 0;
        for (int k = QueuedWork.region(queue.load(w, 0)); k < QueuedWork.REGIONS; k++) {
            double weight = pairs.weight(w, believed, k);
            double wait = queue.waitInRegion(w, k);
            total += weight;
            for (int q = 0; q < QUANTILES.length; q++) {
                if (wait <= slack[q]) {
                    double notOvertaken =
                            model.byPriority
                                    ? future.notOvertaken(w, t.profile, k, wait, slack[q] - wait)
                                    : 1;
                    inTime += weight * notOvertaken * weights[q] / totalWeight;
                }
            }
        }
        return inTime / total;
    }
}
