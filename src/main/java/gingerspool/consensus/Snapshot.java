package gingerspool.consensus;

import java.util.List;

/**
 * The state that all log entries up to an index come to, and the voters at that index.
 *
 * @param index the last log entry that it holds
 * @param term the term of that entry
 * @param voters the voters once that entry was appended
 * @param state the state in the form of ReplicaEnvironment.snapshotState(); null before any entry
 */
public record Snapshot(long index, long term, VoterSet voters, byte[] state) {
    /** A snapshot with no change of the voters under way. */
    public Snapshot(long index, long term, List<Member> voters, byte[] state) {
        this(index, term, VoterSet.of(voters), state);
    }
}
