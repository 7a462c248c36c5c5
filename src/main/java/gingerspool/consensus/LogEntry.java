package gingerspool.consensus;

/**
 * One log entry: the term of the leader that appended it, and either a command, a new voter set, or
 * neither for the first entry of a term. Sent to followers and written to disk.
 */
public record LogEntry(long term, byte[] command, VoterSet voters) {
    /** The approximate size of an entry without its command, in bytes. */
    private static final int OVERHEAD_BYTES = 64;

    /** The first entry of a term. Once it is committed, so are all entries before it. */
    static LogEntry termStart(long term) {
        return new LogEntry(term, null, null);
    }

    /** An entry with a command for the state machine. */
    static LogEntry command(long term, byte[] command) {
        return new LogEntry(term, command, null);
    }

    /** An entry that changes the voters. */
    static LogEntry voters(long term, VoterSet voters) {
        return new LogEntry(term, null, voters);
    }

    /** The approximate size of the entry, in bytes. */
    int sizeBytes() {
        return OVERHEAD_BYTES + (command == null ? 0 : command.length);
    }
}
