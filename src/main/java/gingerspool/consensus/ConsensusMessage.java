package gingerspool.consensus;

import java.util.List;

/** What members say to each other; all bear the view in which they are said. */
public sealed interface ConsensusMessage {
    long term();

    /**
     * Stop for this view: the sender would lead it, and has entries up to this place, of this view.
     */
    record RequestVote(long term, long lastView, long last) implements ConsensusMessage {}

    /**
     * Whether the other would stop for this view, if it were asked to: nothing is promised by
     * either.
     */
    record PreVote(long term, long lastView, long last) implements ConsensusMessage {}

    /** The answer, with the view that it has itself. */
    record PreVoteReply(long term, boolean yes, long own) implements ConsensusMessage {}

    /** The answer: granted, or refused; a stranger is told that it is no member. */
    record VoteReply(long term, boolean granted, boolean stranger) implements ConsensusMessage {}

    /**
     * Entries after a place (the leader's beat if there are none), and how far the order is agreed
     * on.
     */
    record AppendEntries(
            long term,
            long before,
            long beforeView,
            List<LogEntry> entries,
            long agreed,
            double sentAt)
            implements ConsensusMessage {}

    /** All up to a place as a state, for one that lacks what came before. */
    record InstallSnapshot(long term, Snapshot snapshot, long agreed, double sentAt)
            implements ConsensusMessage {}

    /**
     * The answer to both: whether it fitted, up to where all is on disk, and the beat that is
     * answered.
     */
    record AppendReply(long term, boolean fitted, long last, double sentAt)
            implements ConsensusMessage {}

    /** A stranger asks to be taken in. */
    record JoinRequest(long term) implements ConsensusMessage {}

    /** A leader that leaves gives up its lease; the heir is to lead at once. */
    record TimeoutNow(long term, Member heir) implements ConsensusMessage {}

    /** A letter on its way: it is for this very member, not for another on the same machine. */
    record Envelope(Member from, Member to, ConsensusMessage letter) {}
}
