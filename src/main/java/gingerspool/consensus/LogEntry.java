package gingerspool.consensus;

/** One log entry: the term of the leader that appended it, and a command, or the new voters. */
public record LogEntry(long term, byte[] command, VoterSet voters) {
    /** What an entry takes besides its command, about, in bytes. */
    private static final int OVERHEAD_BYTES = 64;

    /** The first entry of each term; once it is committed, so is everything before it. */
    static LogEntry termStart(long term) {
        return new LogEntry(term, null, null);
    }

    static LogEntry command(long term, byte[] command) {
        return new LogEntry(term, command, null);
    }

    static LogEntry voters(long term, VoterSet voters) {
        return new LogEntry(term, null, voters);
    }

    /** About how much room it takes, in bytes. */
    int sizeBytes() {
        return OVERHEAD_BYTES + (command == null ? 0 : command.length);
    }
}
