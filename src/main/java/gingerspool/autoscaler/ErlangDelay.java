package gingerspool.autoscaler;

/**
 * The waiting time of requests by Erlang's delay formula (Erlang C), which assumes Poisson arrivals
 * and exponentially distributed running times.
 */
final class ErlangDelay {
    private ErlangDelay() {}

    /**
     * The probability that a request waits for a slot for longer than the given time.
     *
     * @param slots the number of requests that can run at once
     * @param load the arrivals per mean running time, that is, the mean number of slots in use
     * @param wait the waiting time, in mean running times
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
