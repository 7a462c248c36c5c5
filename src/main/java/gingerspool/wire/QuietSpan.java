package gingerspool.wire;

/**
 * A period in which the runtime noticed no event: either none arrived, or the runtime did not get
 * to poll. Times are in milliseconds on the loop's clock.
 *
 * @param from when the last event before the period was noticed
 * @param until when the first event after the period was noticed, or now if there is none yet
 */
record QuietSpan(double from, double until) {}
