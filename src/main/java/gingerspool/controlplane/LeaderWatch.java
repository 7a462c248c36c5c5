package gingerspool.controlplane;

/**
 * Tells when no leader has been known for so long that the settings file, which may change without
 * a signal, is worth reading anew: its seeds may name machines that know more. No I/O, no clock.
 */
final class LeaderWatch {
    /** In heartbeat intervals: how long without a leader, and between two readings. */
    private static final double LEADERLESS_HEARTBEATS = 4;

    private final double heartbeat;
    private double quietUntil;

    LeaderWatch(double heartbeat, double now) {
        this.heartbeat = heartbeat;
        quietUntil = now + LEADERLESS_HEARTBEATS * heartbeat;
    }

    /** Whether the file is to be read now. */
    boolean isDue(boolean knowsLeader, double now) {
        boolean isDue = !knowsLeader && now >= quietUntil;
        if (knowsLeader || isDue) {
            quietUntil = now + LEADERLESS_HEARTBEATS * heartbeat;
        }
        return isDue;
    }
}
