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
    static double probabilityBeyond(int slots, double load, double span) {
        if (load >= slots) {
            return 1;
        }
        double blocked = 1;
        for (int k = 1; k <= slots; k++) {
            blocked = load * blocked / (k + load * blocked);
        }
        double waits = blocked / (1 - load / slots * (1 - blocked));
        return waits * Math.exp(-(slots - load) * span);
    }
}
