package gingerspool.consensus;

import java.util.List;

/** What replicas send to each other; each message bears the term in which it was sent. */
public sealed interface ConsensusMessage {
    long term();

    /** A candidate asks for a vote in its term; its log ends with this index and term. */
    record RequestVote(long term, long lastLogTerm, long lastLogIndex)
            implements ConsensusMessage {}

    /** Whether the other would vote for the sender in this term; neither promises anything. */
    record PreVote(long term, long lastLogTerm, long lastLogIndex) implements ConsensusMessage {}

    /** The answer to a pre-vote, with the term that the voter is in. */
    record PreVoteReply(long term, boolean granted, long currentTerm) implements ConsensusMessage {}

    /** The answer to a request for a vote. */
    record VoteReply(long term, boolean granted) implements ConsensusMessage {}

    /** Entries after an index (none: a heartbeat), and how far the log is committed. */
    record AppendEntries(
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            double sentAt)
            implements ConsensusMessage {}

    /** A piece of a snapshot, for a member that lacks entries that the leader no longer has. */
    record InstallSnapshot(long term, SnapshotPiece piece, long commitIndex, double sentAt)
            implements ConsensusMessage {}

    /**
     * The answer to AppendEntries. Where it matched, `last` is the last entry that is durable and
     * known to match. Where it did not, `last` is the last entry that may match, and conflictTerm
     * the term that differed there, or 0.
     */
    record AppendReply(long term, boolean matched, long lastIndex, long conflictTerm, double sentAt)
            implements ConsensusMessage {}

    /** How many pieces of a snapshot have arrived without a gap. */
    record SnapshotReply(long term, long index, String digest, int received, double sentAt)
            implements ConsensusMessage {}

    /** A machine that is no voter, or does not know the leader, asks to be brought up. */
    record JoinRequest(long term) implements ConsensusMessage {}

    /** Where the leader and the members are, as far as the sender knows ("": no leader known). */
    record Referral(long term, String leader, List<String> addresses) implements ConsensusMessage {}

    /** A member that is about to leave asks for its replacement. */
    record LeaveRequest(long term) implements ConsensusMessage {}

    /** Whether there is a learner that can replace the member that asked. */
    record LeaveReply(long term, boolean replacementWaits) implements ConsensusMessage {}

    /** The leader gives up its lease; the heir is to stand for election at once. */
    record TimeoutNow(long term, Member successor) implements ConsensusMessage {}

    /** A message with its sender and receiver. */
    record Envelope(Member from, Member to, ConsensusMessage message) {
        /**
         * Whether it is for this member, not for another that was or will be on the same machine.
         * What is sent without an id is for whoever is there.
         */
        public boolean isFor(Member self) {
            return to.id().isEmpty() || to.equals(self);
        }
    }
}
