package gingerspool.dispatch;

/**
 * What a deployment tells a dispatcher at its start, in the terms used here. Times in milliseconds,
 * rates a second.
 */
public final class DispatcherSettings {
    /** In which order workers take from their queues. */
    public enum Order {
        FIRST_COME,
        BACKFILL,
        PRIORITY
    }

    public Profile[] profiles = new Profile[0];
    public double[] allowance = new double[0];
    public double excessUtility = 1;
    public boolean utilityByWork;
    public int zone = -1;

    /** What the zone is called. */
    public String place = "";

    public int dispatchers = 1;
    public boolean listOnRequest;

    /** The machine kinds, in the order of their numbers, and the values that reports hold. */
    public String[] kinds = new String[0];

    public String[] reportNames = new String[0];
    public boolean reportsByProbe;
    public boolean reportsInAnswers;
    public Order order = Order.FIRST_COME;
    public boolean tellsStart;

    /** How often a running task tells its progress; 0: never. */
    public double progressEvery;

    public boolean mayProbe;
    public boolean mayCancel;

    /** Whether dispatchers may send each other short messages. */
    public boolean mayTell;

    /** What it costs in service if 256 bytes are delivered for each task. */
    public double tellFee;

    public boolean mayAdvise;
    public double maxAdvice;
    public int mostAssignments = 1;
    public double askWithin;

    /**
     * Only a listing as draining binds; the module is stricter: who is listed as gone gets nothing.
     */
    public boolean drainBindsAlone;

    /**
     * The weight of the tail in the score, and the share of tasks that may miss their due time in
     * it.
     */
    public double tail;

    public double borneMisses;

    /** The weight of the profile that is served worst in the score. */
    public double worstProfile;

    public double coldFrom = 1;
    public double warmWithin;
    public double fallWindow;
    public double overloadFactor = 1;
    public double tick = 1;
    public double crossFee;

    /** What it costs in service if one report is fetched for each task. */
    public double probeFee;
}
