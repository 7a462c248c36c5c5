package gingerspool.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The configurations that the operator of {@link PlatformSoakTest} sent, and when each was
 * acknowledged. Each is sent after the one before it was acknowledged. Times are System.nanoTime().
 * Thread-safe.
 */
final class ConfigurationLog {
    private static final class Entry {
        final SoakConfiguration configuration;
        final long sentNanos;
        Long acknowledgedNanos;

        Entry(SoakConfiguration configuration, long sentNanos) {
            this.configuration = configuration;
            this.sentNanos = sentNanos;
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private final long applyNanos;

    /** A configuration is in force everywhere this long after its acknowledgement. */
    ConfigurationLog(long applyNanos) {
        this.applyNanos = applyNanos;
    }

    synchronized void onSent(SoakConfiguration configuration) {
        entries.add(new Entry(configuration, System.nanoTime()));
    }

    /** The newest configuration was acknowledged. */
    synchronized void onAcknowledged() {
        entries.get(entries.size() - 1).acknowledgedNanos = System.nanoTime();
    }

    /** The newest configuration, acknowledged or not. */
    synchronized SoakConfiguration newest() {
        return entries.get(entries.size() - 1).configuration;
    }

    synchronized List<SoakConfiguration> all() {
        return entries.stream().map(entry -> entry.configuration).toList();
    }

    /**
     * Whether the predicate holds for some configuration that a machine in touch may have in force
     * at some time of a request that was sent and ended then.
     */
    synchronized boolean mayHold(
            long sentNanos, long endedNanos, Predicate<SoakConfiguration> predicate) {
        for (int i = 0; i < entries.size(); i++) {
            Entry entry = entries.get(i);
            boolean isReplaced = i + 1 < entries.size() && isInForce(entries.get(i + 1), sentNanos);
            if (entry.sentNanos - endedNanos <= 0
                    && !isReplaced
                    && predicate.test(entry.configuration)) {
                return true;
            }
        }
        return false;
    }

    private boolean isInForce(Entry entry, long atNanos) {
        return entry.acknowledgedNanos != null && entry.acknowledgedNanos + applyNanos < atNanos;
    }

    /** Whether any configuration was acknowledged in this span. */
    synchronized boolean isAcknowledgedBetween(long fromNanos, long toNanos) {
        return entries.stream()
                .map(entry -> entry.acknowledgedNanos)
                .anyMatch(at -> at != null && at >= fromNanos && at <= toNanos);
    }

    /** Whether the predicate holds for some configuration that was sent before this time. */
    synchronized boolean everHeld(long endedNanos, Predicate<SoakConfiguration> predicate) {
        return entries.stream()
                .filter(entry -> entry.sentNanos - endedNanos <= 0)
                .anyMatch(entry -> predicate.test(entry.configuration));
    }
}
