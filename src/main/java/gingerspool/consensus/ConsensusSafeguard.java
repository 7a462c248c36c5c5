package gingerspool.consensus;

/**
 * The guards of the replicated log that safety or recovery depends on. A production replica has all
 * of them; a test may take one out, to show that some history goes wrong without it.
 */
public enum ConsensusSafeguard {
    /** A member asks whether it would be elected before it raises its term. */
    PRE_VOTE,

    /** A vote is answered only once it is durable, so that a restart does not forget it. */
    VOTE_DURABLE_BEFORE_REPLY,

    /** At most one candidate is granted a vote in each term. */
    ONE_VOTE_PER_TERM,

    /** A member that heard the leader within a lease grants no other its vote. */
    VOTE_WITHHELD_DURING_LEASE,

    /** After a restart votes are withheld for a lease, as the earlier life may have granted one. */
    LEASE_WAITED_OUT_AFTER_RESTART,

    /** A heartbeat counts for the lease only once the member's term and vote are durable. */
    LEASE_COUNTS_DURABLE_VOTES,

    /** The leader trusts its lease for a part of its length only, as clocks drift. */
    LEASE_TRUSTED_IN_PART,

    /** Only a member whose log is as up to date as the voter's own is granted a vote. */
    VOTE_ONLY_FOR_UP_TO_DATE_LOG,

    /** The leader serves only after an entry of its own term was committed. */
    SERVE_AFTER_OWN_TERM_COMMITTED,

    /** Messages of older terms are refused. */
    OLD_TERMS_REFUSED,

    /** Entries are acknowledged, and counted by the leader itself, only once they are durable. */
    SYNC_BEFORE_ACKNOWLEDGE,

    /** A follower acknowledges entries only as far as they are known to match the leader's. */
    ACKNOWLEDGE_MATCHED_PREFIX,

    /** Entries of older terms are committed only along with one of the leader's own term. */
    COMMIT_ONLY_OWN_TERM,

    /** An entry is committed only with more durable copies than losses are tolerated. */
    MORE_COPIES_THAN_LOSSES,

    /** A truncation takes back what was counted as durable of the entries that it removes. */
    TRUNCATION_RESETS_DURABLE,

    /** A message that arrives late removes no entries that match the leader's log. */
    TRUNCATE_ONLY_ON_CONFLICT,

    /** A machine whose disk was lost comes back under a new member id. */
    NEW_ID_AFTER_WIPE,

    /** A membership change begins only once the one before it is committed. */
    ONE_MEMBERSHIP_CHANGE_AT_A_TIME,

    /** A membership change begins only after an entry of the leader's term was committed. */
    MEMBERSHIP_CHANGE_AFTER_OWN_TERM,

    /** A learner becomes a voter only once it holds all that is committed. */
    LEARNER_CAUGHT_UP_BEFORE_VOTING,

    /** While a change is under way elections, leases and commits need both sets' majorities. */
    JOINT_QUORUM,

    /** A leaving member stays a voter, and its process runs, until its replacement is agreed on. */
    LEAVER_STAYS_UNTIL_SWAPPED,

    /** A snapshot is installed only where it is ahead of what was applied. */
    SNAPSHOT_ONLY_FORWARD,

    /** A received snapshot is installed only if its digest is right. */
    SNAPSHOT_DIGEST_CHECKED,

    /** An installed snapshot keeps the entries after it that match: they may be acknowledged. */
    SNAPSHOT_KEEPS_MATCHING_LOG,

    /** A member takes itself for removed only once the change that removes it is committed. */
    REMOVAL_ONLY_BY_COMMITTED_CHANGE,

    /** A leader that had no lease for the length of one steps down by itself. */
    STEP_DOWN_WITHOUT_LEASE
}
