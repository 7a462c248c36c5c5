package gingerspool.autoscaler;

/**
 * How long requests wait for a slot, by Erlang's delay formula (Erlang C) for Poisson arrivals and
 * exponential running times.
 */
final class ErlangDelay {
    private ErlangDelay() {}

    /**
     * The probability that a request waits for longer than a span.
     *
     * @param slots how many requests run at once
     * @param load arrivals in one mean running time, that is slots in use on average
     * @param span the span, in mean running times
     */
    static double probabilityOfWaitOver(int slots, double load, double wait) {
        if (load >= slots) {
            return 1;
        }
        double blockingProbability = 1;
        for (int servers = 1; servers <= slots; servers++) {
            blockingProbability =
                    load * blockingProbability / (servers + load * blockingProbability);
        }
        double waitProbability =
                blockingProbability / (1 - load / slots * (1 - blockingProbability));
        return waitProbability * Math.exp(-(slots - load) * wait);
    }
}
