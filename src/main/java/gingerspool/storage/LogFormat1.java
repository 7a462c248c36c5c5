package gingerspool.storage;

import gingerspool.codec.KryoCodec;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.Member;
import gingerspool.consensus.Snapshot;
import gingerspool.consensus.VoterSet;
import java.util.List;

/**
 * The records of log files of format 1, which stored the voters as one list. {@link DurableLog}
 * upgrades them as it reads. The component names are part of the format on disk: they determine the
 * order of the components.
 */
final class LogFormat1 {
    /** A log entry of format 1; members is null unless the entry changes the voters. */
    record EntryV1(long term, byte[] command, List<Member> members) {
        LogEntry upgraded() {
            return new LogEntry(term, command, members == null ? null : VoterSet.of(members));
        }
    }

    /** A snapshot of format 1. */
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
