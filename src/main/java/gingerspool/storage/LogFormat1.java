package gingerspool.storage;

import gingerspool.codec.KryoCodec;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.Member;
import gingerspool.consensus.Snapshot;
import gingerspool.consensus.VoterSet;
import java.util.List;

/**
 * The records of log files of form 1, in which voters were one list. Their components keep the
 * names and order that were written.
 */
final class LogFormat1 {
    /** An entry, as it was. */
    record EntryV1(long term, byte[] command, List<Member> members) {
        LogEntry upgraded() {
            return new LogEntry(term, command, members == null ? null : VoterSet.of(members));
        }
    }

    /** A snapshot, as it was. */
    record SnapshotV1(long index, long term, List<Member> members, byte[] state) {
        Snapshot upgraded() {
            return new Snapshot(index, term, members, state);
        }
    }

    static KryoCodec codec() {
        return new KryoCodec(
                List.of(DurableLog.Vote.class, Member.class, EntryV1.class, SnapshotV1.class));
    }

    private LogFormat1() {}
}
