package gingerspool.consensus;

import java.util.List;

/** One log entry: the term of the leader that appended it, and a command, or the new voters. */
public record LogEntry(long term, byte[] command, List<Member> members) {
    /** The first entry of each term; once it is committed, so is everything before it. */
    static LogEntry begin(long term) {
        return new LogEntry(term, null, null);
    }

    static LogEntry command(long term, byte[] command) {
        return new LogEntry(term, command, null);
    }

    static LogEntry members(long term, List<Member> members) {
        return new LogEntry(term, null, members);
    }
}
