package gingerspool.autoscaler;

/** Erlang's delay formula: how long tasks wait for a slot. */
final class ErlangDelay {
    private ErlangDelay() {}

    /**
     * P(wait longer than a span) with so many slots, this load in slots, and spans in mean running
     * times.
     */
    static double longer(int slots, double load, double span) {
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
