package gingerspool.consensus;

import java.util.List;

/** The state that all log entries up to an index come to, and the voters at that index. */
public record Snapshot(long index, long term, List<Member> members, byte[] state) {}
