package gingerspool.dispatch;

/** The law of later work that runs first: a formula, no decision. */
final class BusyPeriods {
    private BusyPeriods() {}

    /**
     * Fills in P(X at most x given k) for each x, in bins: a Poisson number of busy periods at
     * lambda. Their sum has a known form: P(X = y) = k / (k + y) P(compound Poisson work over k + y
     * = y).
     */
    static void fillProbabilities(int k, double lambda, double[] run, double[] within) {
        double sum = 0;
        double[] f = new double[within.length];
        for (int y = 0; y < within.length; y++) {
            double mean = lambda * (k + y);
            f[0] = Math.exp(-mean * (1 - run[0]));
            for (int i = 1; i <= y; i++) {
                double s = 0;
                for (int j = 1; j <= i && j < run.length; j++) {
                    s += j * run[j] * f[i - j];
                }
                f[i] = mean / i * s;
            }
            sum += f[y] * k / (k + y);
            within[y] = Math.min(1, sum);
        }
    }
}
