package gingerspool.route;

/**
 * A limit on tasks in hand that follows the latency of answers. The rule is that of TCP Vegas
 * (Brakmo and Peterson, 1995), which Netflix's concurrency limits took over: limit * (1 - base /
 * latency) tasks are taken to be waiting; under ALPHA the limit grows, over BETA it shrinks. The
 * base, the latency without a queue, is measured anew every so often at half the limit, as BBR
 * (Cardwell et al., 2016) does, since a base that is only remembered goes wrong for good once
 * running times change.
 *
 * <p>Latencies are means over a window of answers, at least twice the limit, since single running
 * times are spread over more than their mean.
 */
final class AdaptiveLimit {
    static final double INITIAL_LIMIT = 20;
    static final double MIN_LIMIT = 4;
    static final double MAX_LIMIT = 10_000;
    private static final double ALPHA = 3;
    private static final double BETA = 6;
    private static final int MIN_WINDOW_SAMPLES = 32;

    /**
     * Windows between two measurements of the base, and how many one takes; the last of these
     * counts.
     */
    private static final int WINDOWS_BETWEEN_PROBES = 48;

    private static final int PROBE_WINDOWS = 3;

    private double limit = INITIAL_LIMIT;
    private double baseLatency;
    private double latencySum;
    private int sampleCount;
    private int peakInFlight;
    private int windowsSinceProbe;

    private boolean probing() {
        return windowsSinceProbe >= WINDOWS_BETWEEN_PROBES;
    }

    double limit() {
        return Math.max(MIN_LIMIT, Math.floor(probing() ? limit / 2 : limit));
    }

    /** An answer came after so many milliseconds, when so many tasks were in hand. */
    void sample(double latency, int inHand) {
        latencySum += latency;
        peakInFlight = Math.max(peakInFlight, inHand);
        if (++sampleCount < Math.max(MIN_WINDOW_SAMPLES, 2 * limit())) {
            return;
        }
        double quick = Math.max(latencySum / sampleCount, 1e-3);
        boolean used = peakInFlight >= limit() / 2;
        latencySum = 0;
        sampleCount = 0;
        peakInFlight = 0;
        windowsSinceProbe++;
        baseLatency =
                baseLatency == 0
                        ? quick
                        : quick < baseLatency
                                ? baseLatency + (quick - baseLatency) / 8
                                : baseLatency;
        if (windowsSinceProbe > WINDOWS_BETWEEN_PROBES) {
            if (windowsSinceProbe >= WINDOWS_BETWEEN_PROBES + PROBE_WINDOWS) {
                baseLatency = (baseLatency + quick) / 2;
                windowsSinceProbe = 0;
            }
            return;
        }
        double step = Math.max(1, Math.log10(limit));
        double queue = limit * Math.max(0, 1 - baseLatency / quick);
        if (queue > BETA * step) {
            limit -= Math.max(step, (queue - BETA * step) / 2);
        } else if (queue < ALPHA * step && used) {
            // Guards against growing for want of load: a limit that is not used tells nothing.
            limit += step;
        }
        limit = Math.max(MIN_LIMIT, Math.min(MAX_LIMIT, limit));
    }
}
