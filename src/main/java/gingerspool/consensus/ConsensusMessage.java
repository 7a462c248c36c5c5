package gingerspool.consensus;

import java.util.List;

/**
 * The messages between replicas. Each carries a term: that of the election in pre-votes, vote
 * requests and their replies, otherwise that of the sender.
 */
public sealed interface ConsensusMessage {
    /** The term of the sender or, in messages about votes, of the election. */
    long term();

    /** A candidate's request for a vote in its term, with the term and index of its last entry. */
    record RequestVote(long term, long lastLogTerm, long lastLogIndex)
            implements ConsensusMessage {}

    /** Asks whether the receiver would vote for the sender in this term; binds neither of them. */
    record PreVote(long term, long lastLogTerm, long lastLogIndex) implements ConsensusMessage {}

    /** The reply to a pre-vote, with the current term of the voter. */
    record PreVoteReply(long term, boolean granted, long currentTerm) implements ConsensusMessage {}

    /** The reply to a vote request. */
    record VoteReply(long term, boolean granted) implements ConsensusMessage {}

    /**
     * Entries after an index, and the leader's commit index. Without entries it is a heartbeat. The
     * send time is in milliseconds of the leader's clock and is returned in the reply.
     */
    record AppendEntries(
            long term,
            long previousIndex,
            long previousTerm,
            List<LogEntry> entries,
            long commitIndex,
            double sentAt)
            implements ConsensusMessage {}

    /** A piece of a snapshot, for a member that needs entries that the leader has compacted. */
    record InstallSnapshot(long term, SnapshotPiece piece, long commitIndex, double sentAt)
            implements ConsensusMessage {}

    /**
     * The reply to AppendEntries. If the entries matched, lastIndex is the last entry that is
     * durable and known to match. Otherwise lastIndex is the last entry that may match, and
     * conflictTerm is the follower's term at the conflicting entry, or 0 if it has none there. A
     * sentAt of negative infinity acknowledges nothing for the lease.
     */
    record AppendReply(long term, boolean matched, long lastIndex, long conflictTerm, double sentAt)
            implements ConsensusMessage {}

    /** The reply to InstallSnapshot: the number of pieces received without a gap. */
    record SnapshotReply(long term, long index, String digest, int received, double sentAt)
            implements ConsensusMessage {}

    /** A member that is not a voter, or does not know the leader, asks to join. */
    record JoinRequest(long term) implements ConsensusMessage {}

    /** The addresses of the leader ("" if unknown) and of the members that the sender knows. */
    record Referral(long term, String leader, List<String> addresses) implements ConsensusMessage {}

    /** A departing member asks the leader to replace it. */
    record LeaveRequest(long term) implements ConsensusMessage {}

    /** The reply to LeaveRequest: whether a learner is available as the replacement. */
    record LeaveReply(long term, boolean replacementWaits) implements ConsensusMessage {}

    /** The leader resigns its lease; the successor is to start an election at once. */
    record TimeoutNow(long term, Member successor) implements ConsensusMessage {}

    /** A message with its sender and its receiver. */
    record Envelope(Member from, Member to, ConsensusMessage message) {
        /**
         * Whether the message is for this member, not for an earlier or later one on the same
         * machine. A receiver without an id stands for any member on the machine.
         */
        public boolean isFor(Member self) {
            return to.id().isEmpty() || to.equals(self);
        }
    }
}
