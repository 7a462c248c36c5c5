package gingerspool.dispatch;

/**
 * The settings of a deployment, filled in by the host before it creates a {@link Dispatcher} and
 * read only then. Times and spans are milliseconds, rates are per second.
 */
public final class DispatcherSettings {
    /** The order in which workers take tasks from their queues. */
    public enum Order {
        FIRST_COME,
        BACKFILL,
        PRIORITY
    }

    public Profile[] profiles = new Profile[0];

    /** Tasks per second that each tenant may send. */
    public double[] allowance = new double[0];

    /** Share of its utility that a task beyond the allowance keeps. */
    public double excessUtility = 1;

    /** Whether utility counts per work, else per task. */
    public boolean utilityByWork;

    /** Number of the zone of this dispatcher; -1: none. */
    public int zone = -1;

    /** Name of that zone. */
    public String zoneName = "";

    public int dispatchers = 1;

    /** Whether the worker list must be requested, else it is pushed. */
    public boolean listOnRequest;

    /** Names of the machine kinds by number, and of the values that load reports contain. */
    public String[] kinds = new String[0];

    public String[] reportNames = new String[0];

    /** Whether reports are fetched by probes, and whether answers of tasks carry them. */
    public boolean reportsByProbe;

    public boolean reportsInAnswers;
    public Order order = Order.FIRST_COME;

    /** Whether workers send a notice when a task starts. */
    public boolean notifiesStart;

    /** Interval of progress reports of a running task; 0: none. */
    public double progressInterval;

    public boolean mayProbe;
    public boolean mayCancel;

    /** Whether dispatchers may send each other short messages. */
    public boolean mayMessagePeers;

    /** Share of the service lost if 256 bytes are sent to peers for each task. */
    public double peerMessageFee;

    /** Whether a rejected client may be told when to retry, and the longest such pause. */
    public boolean mayAdviseRetryAfter;

    public double maxRetryAfter;

    /** Maximum assignments of a task. */
    public int maxAssignments = 1;

    /** Span within which a failed list request is to be retried; 0: a default. */
    public double listRequestWindow;

    /**
     * Whether only a listing as draining forbids new tasks. The dispatcher is stricter: workers
     * listed as gone get none either.
     */
    public boolean drainBindsAlone;

    /**
     * Weight of the tail in the goal, and the share of tasks that may miss their due time there.
     */
    public double tailWeight;

    public double toleratedMissShare;

    /** Weight of the worst-served profile in the goal. */
    public double worstProfileWeight;

    /** Share of its capacity that a worker has at its start, and the time until it has all. */
    public double coldShare = 1;

    public double warmUpSpan;

    /** Window of the limit on cold workers (0: none), and the load they bear in it. */
    public double coldWindow;

    public double overloadFactor = 1;

    /** Time resolution of the host. */
    public double tick = 1;

    /** Cost of sending a task to another zone, in shares of the mean worth. */
    public double zoneFee;

    /** Share of the service lost if one report is fetched for each task. */
    public double probeFee;
}
