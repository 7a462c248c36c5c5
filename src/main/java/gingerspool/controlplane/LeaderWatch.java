package gingerspool.controlplane;

/**
 * Tells when no leader has been known for so long that the settings file, which may change without
 * a signal, is worth reading anew: its seeds may name machines that know more. No I/O, no clock.
 */
final class LeaderWatch {
    /** In heartbeat intervals: how long without a leader, and between two readings. */
    private static final double LEADERLESS_TIMEOUT_HEARTBEATS = 4;

    private final double heartbeatInterval;
    private double nextDueAt;

    LeaderWatch(double heartbeatInterval, double now) {
        this.heartbeatInterval = heartbeatInterval;
        nextDueAt = now + LEADERLESS_TIMEOUT_HEARTBEATS * heartbeatInterval;
    }

    /** Whether the file is to be read now. */
    boolean isDue(boolean knowsLeader, double now) {
        boolean isDue = !knowsLeader && now >= nextDueAt;
        if (knowsLeader || isDue) {
            nextDueAt = now + LEADERLESS_TIMEOUT_HEARTBEATS * heartbeatInterval;
        }
        return isDue;
    }
}
