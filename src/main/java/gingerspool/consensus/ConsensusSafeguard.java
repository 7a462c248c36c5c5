package gingerspool.consensus;

/**
 * The safeguards on which the safety or recovery of the replicated log depends. A production
 * replica has all of them enabled; a test may disable one to show that a fault occurs without it.
 */
public enum ConsensusSafeguard {
    /** A member asks whether it would win an election before it raises its term. */
    PRE_VOTE,

    /** A vote is sent only once it is durable, so that a restart does not forget it. */
    VOTE_DURABLE_BEFORE_REPLY,

    /** A member votes for at most one candidate in each term. */
    ONE_VOTE_PER_TERM,

    /** A member that heard from the leader within one lease votes for no other member. */
    VOTE_WITHHELD_DURING_LEASE,

    /** After a restart votes are withheld for one lease, which may have been granted before. */
    LEASE_WAITED_OUT_AFTER_RESTART,

    /** A heartbeat extends the lease only once the follower's term and vote are durable. */
    LEASE_COUNTS_DURABLE_VOTES,

    /** The leader relies on only a fraction of its lease, since clocks drift. */
    LEASE_TRUSTED_IN_PART,

    /** A vote is granted only to a member whose log is at least as up to date as the voter's. */
    VOTE_ONLY_FOR_UP_TO_DATE_LOG,

    /** The leader serves only after an entry of its own term is committed. */
    SERVE_AFTER_OWN_TERM_COMMITTED,

    /** Messages of older terms are rejected. */
    OLD_TERMS_REFUSED,

    /** Entries are acknowledged, and counted by the leader for itself, only once durable. */
    SYNC_BEFORE_ACKNOWLEDGE,

    /** A follower acknowledges entries only as far as they are known to match the leader's log. */
    ACKNOWLEDGE_MATCHED_PREFIX,

    /** Entries of older terms are committed only through an entry of the leader's own term. */
    COMMIT_ONLY_OWN_TERM,

    /** An entry is committed only once its durable copies outnumber the tolerated losses. */
    MORE_COPIES_THAN_LOSSES,

    /** A truncation lowers the durable index to the last entry that is kept. */
    TRUNCATION_RESETS_DURABLE,

    /** A delayed message does not remove entries that match the leader's log. */
    TRUNCATE_ONLY_ON_CONFLICT,

    /** A machine that lost its disk returns under a new member id. */
    NEW_ID_AFTER_WIPE,

    /** A membership change starts only once the previous one is committed. */
    ONE_MEMBERSHIP_CHANGE_AT_A_TIME,

    /** A membership change starts only after an entry of the leader's term is committed. */
    MEMBERSHIP_CHANGE_AFTER_OWN_TERM,

    /** A learner becomes a voter only once it has caught up with the committed log. */
    LEARNER_CAUGHT_UP_BEFORE_VOTING,

    /** During a change, elections, leases and commits need majorities of both voter sets. */
    JOINT_QUORUM,

    /** A leaving member stays a voter and keeps running until its replacement is committed. */
    LEAVER_STAYS_UNTIL_REPLACED,

    /** A snapshot is installed only if it is ahead of the last applied entry. */
    SNAPSHOT_ONLY_FORWARD,

    /** A received snapshot is installed only if its digest matches. */
    SNAPSHOT_DIGEST_CHECKED,

    /** Installing a snapshot keeps matching later entries, which may be acknowledged already. */
    SNAPSHOT_KEEPS_MATCHING_LOG,

    /** A member regards itself as removed only once the change that removes it is committed. */
    REMOVAL_ONLY_BY_COMMITTED_CHANGE,

    /** A leader that has been without a lease for one lease length steps down. */
    STEP_DOWN_WITHOUT_LEASE
}
