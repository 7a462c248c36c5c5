package gingerspool.simulation;

/** The troubles of the core, by the names of the bench; a wipe loses the machine's disk. */
enum FaultKind {
    NODE_KILL(false),
    NODE_FREEZE(false),
    HERD_KILL(false),
    REPLACE_CORE(true),
    REPLACE_CORE_PLANNED(true),
    AFTER_ACK_KILL(false),
    AFTER_ACK_KILL_TIMED(false),
    AFTER_ACK_WIPE(true),
    WIPE(true),
    DISK_SLOW(false),
    DISK_FULL(false),
    DISK_STALL(false),
    CLOCK_STEP(false),
    CORE_CUT(false),
    CORE_CUT_ONE_WAY(false),
    CORE_CUT_LEADER(false),
    CORE_CUT_SEEDS(false),
    CORE_CUT_BOTH(false),
    CORE_CUT_MEET(false),
    NODE_CUT(false),
    ACK_LOST(false),
    ROLL_TERM(false),
    PACKET_LOSS(false),

    /** The link between two machines is cut. */
    LINK_CUT(false),

    /** The machines are cut into two parts. */
    PARTITION(false),

    /** Messages come late, and in another order. */
    LATE_MESSAGES(false),

    /** Pieces of snapshots arrive with wrong bytes. */
    GARBLED_SNAPSHOTS(false);

    final boolean losesDisk;

    FaultKind(boolean losesDisk) {
        this.losesDisk = losesDisk;
    }
}
