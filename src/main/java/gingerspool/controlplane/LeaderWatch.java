package gingerspool.controlplane;

/**
 * Decides when to read the settings file again because no leader has been known for long: its seeds
 * may now name machines that know the leader, and the file may change without a signal. Does no I/O
 * and reads no clock; {@link ClusterMember} calls it on the event loop with the current time in
 * milliseconds.
 */
final class LeaderWatch {
    /**
     * Time without a leader before the file is read, and between two reads, in heartbeat intervals.
     */
    private static final double LEADERLESS_TIMEOUT_HEARTBEATS = 4;

    private final double heartbeatInterval;
    private double nextDueAt;

    LeaderWatch(double heartbeatInterval, double now) {
        this.heartbeatInterval = heartbeatInterval;
        nextDueAt = now + LEADERLESS_TIMEOUT_HEARTBEATS * heartbeatInterval;
    }

    /** Whether the file should be read now; if so, the next read is due a full timeout later. */
    boolean isReloadDue(boolean knowsLeader, double now) {
        boolean isDue = !knowsLeader && now >= nextDueAt;
        if (knowsLeader || isDue) {
            nextDueAt = now + LEADERLESS_TIMEOUT_HEARTBEATS * heartbeatInterval;
        }
        return isDue;
    }
}
