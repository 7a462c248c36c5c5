package gingerspool.dispatch;

/** Distribution of the later work that overtakes a queued task (X in the design). */
final class BusyPeriods {
    private BusyPeriods() {}

    /**
     * Fills in P(X at most x given a wait of k) for each x, all in bins. X is the sum of a Poisson
     * number of busy periods at arrival rate lambda, whose distribution is known: P(X = y) = k / (k
     * + y) P(compound Poisson work over k + y = y). `run` holds the probabilities of running times.
     */
    static void fillProbabilities(int k, double lambda, double[] run, double[] cumulative) {
        double sum = 0;
        double[] work = new double[cumulative.length];
        for (int y = 0; y < cumulative.length; y++) {
            double mean = lambda * (k + y);
            work[0] = Math.exp(-mean * (1 - run[0]));
            for (int i = 1; i <= y; i++) {
                double convolution = 0;
                for (int j = 1; j <= i && j < run.length; j++) {
                    convolution += j * run[j] * work[i - j];
                }
                work[i] = mean / i * convolution;
            }
            sum += work[y] * k / (k + y);
            cumulative[y] = Math.min(1, sum);
        }
    }
}
