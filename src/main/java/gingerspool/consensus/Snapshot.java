package gingerspool.consensus;

import java.util.List;

/**
 * The state after all log entries up to an index, and the voters at that index. Replaces these
 * entries in the log, in memory and on disk.
 *
 * @param index the index of the last entry that the snapshot covers
 * @param term the term of that entry
 * @param voters the voters after that entry was appended
 * @param state the state as returned by {@link ReplicaEnvironment#snapshotState}; null before any
 *     entry
 */
public record Snapshot(long index, long term, VoterSet voters, byte[] state) {
    /** A snapshot with no membership change in progress. */
    public Snapshot(long index, long term, List<Member> voters, byte[] state) {
        this(index, term, VoterSet.of(voters), state);
    }
}
