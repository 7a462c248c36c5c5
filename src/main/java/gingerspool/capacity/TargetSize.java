package gingerspool.capacity;

/** The size that the system is to reach, its budgets, and what is assumed beside them. */
final class TargetSize {
    static final int SCHEDULERS = 13_000;
    static final int INSTANCES = 2_400_000;
    static final int FUNCTIONS = 510_000;
    static final double CALLS = 1_700_000;
    static final double CHANGES_A_DAY = 50_000;
    static final double CHANGES = CHANGES_A_DAY / 86_400;
    static final double APPLY_SECONDS = 11;
    static final int MACHINES = 57;
    static final int ZONES = 10;

    /** A scheduler's budget for control: processor, heap, bytes a second. */
    static final double SCHEDULER_MICROS = 0.032 * 1e6;

    static final double SCHEDULER_HEAP = 128e6;
    static final double SCHEDULER_BYTES = 24_000;

    /** Assumed: what a role of the core may use, one core, and a link of 1,000 Mbit/s. */
    static final double CORE_MICROS = 1e6;

    static final double LINK_BYTES = 125e6;

    /** What a frame, an order of the operator and a control node allow today. */
    static final double FRAME_MOST = 4 << 20;

    static final double BODY_MOST = 2 << 20;
    static final double LINKS_MOST = 1024;

    /** Assumed, as on the sites: seconds a heartbeat interval, calls of the list a second. */
    static final double INTERVAL = 1.2;

    static final double LIST_CALLS = 13;
    static final double PAGE = 100;
    static final double DRAIN_SEEN = 3;

    /** Digests and holdings are told once in four intervals; ticks are due each 50 ms. */
    static final double REPORTS = 4 * INTERVAL;

    static final double TICK_MICROS = 50_000;

    /** Assumed: members of a core, and functions with a queue at one scheduler. */
    static final int MEMBERS = 5;

    static final int QUEUES = 4000;

    /** Assumed: a call takes 0.1 s, so that so many slots are in use at once. */
    static final double HELD = 0.1 * CALLS;

    /** Assumed: Ethernet, IP and TCP add so many bytes to a message sent alone. */
    static final double HEADERS = 66;

    private TargetSize() {}
}
