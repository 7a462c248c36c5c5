package gingerspool.wire;

/**
 * A time between two events that the runtime noticed one after the other, or since the last one:
 * nothing came in it, or nobody looked.
 *
 * @param from when the event before it was noticed
 * @param until when the event after it was noticed, or now where there is none yet
 */
record QuietSpan(double from, double until) {}
