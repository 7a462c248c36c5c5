package gingerspool.route;

/**
 * An adaptive limit on tasks in flight, driven by the latency of answers. It follows TCP Vegas
 * (Brakmo and Peterson, 1995), as Netflix's concurrency limits do: the estimated queue is limit *
 * (1 - base / latency) tasks; below ALPHA the limit grows, above BETA it shrinks. The base latency,
 * without a queue, is measured again periodically at half the limit, as in BBR (Cardwell et al.,
 * 2016), since a remembered base stays wrong once running times change.
 *
 * <p>Latencies are means over a window of answers, at least twice the limit, since single running
 * times vary by more than their mean. Times are milliseconds.
 */
final class AdaptiveLimit {
    static final double INITIAL_LIMIT = 20;
    static final double MIN_LIMIT = 4;
    static final double MAX_LIMIT = 10_000;
    private static final double ALPHA = 3;
    private static final double BETA = 6;
    private static final int MIN_WINDOW_SAMPLES = 32;

    /**
     * Windows between two measurements of the base latency. A measurement takes PROBE_WINDOWS, of
     * which only the last is used.
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

    /** Records the latency of an answer and the number of tasks in flight before it. */
    void sample(double latency, int inFlight) {
        latencySum += latency;
        peakInFlight = Math.max(peakInFlight, inFlight);
        if (++sampleCount < Math.max(MIN_WINDOW_SAMPLES, 2 * limit())) {
            return;
        }
        double meanLatency = Math.max(latencySum / sampleCount, 1e-3);
        boolean utilized = peakInFlight >= limit() / 2;
        latencySum = 0;
        sampleCount = 0;
        peakInFlight = 0;
        windowsSinceProbe++;
        baseLatency =
                baseLatency == 0
                        ? meanLatency
                        : meanLatency < baseLatency
                                ? baseLatency + (meanLatency - baseLatency) / 8
                                : baseLatency;
        if (windowsSinceProbe > WINDOWS_BETWEEN_PROBES) {
            if (windowsSinceProbe >= WINDOWS_BETWEEN_PROBES + PROBE_WINDOWS) {
                baseLatency = (baseLatency + meanLatency) / 2;
                windowsSinceProbe = 0;
            }
            return;
        }
        double step = Math.max(1, Math.log10(limit));
        double queue = limit * Math.max(0, 1 - baseLatency / meanLatency);
        if (queue > BETA * step) {
            limit -= Math.max(step, (queue - BETA * step) / 2);
        } else if (queue < ALPHA * step && utilized) {
            // Grows only under load: the latency says nothing about a limit that is not reached.
            limit += step;
        }
        limit = Math.max(MIN_LIMIT, Math.min(MAX_LIMIT, limit));
    }
}
