package gingerspool.dispatch;

/** The settings of one class of tasks. Times and spans are milliseconds. */
public final class Profile {
    /** The effect of running a task twice. */
    public enum Effect {
        /** Running it again is harmless. */
        IDEMPOTENT,
        /** Workers within the scope recognize a repeat for a limited window. */
        FINGERPRINTED,
        /** Running it twice has the effect twice. */
        SIDE_EFFECTING
    }

    /**
     * Where workers recognize a repeated task: everywhere, or in the zone or cell of its first run.
     */
    public enum Scope {
        ALL,
        ZONE,
        CELL
    }

    public int index;
    public String name = "";

    /** Due time after arrival; `stretch` times the expected work is added to it. */
    public double dueTime;

    /** When the client gives up, after arrival. */
    public double expiry;

    public double stretch = 1;

    /** Utility of an answer in time, and of a late one. */
    public double utility = 1;

    public double tardyUtility;
    public Effect effect = Effect.SIDE_EFFECTING;
    public Scope scope = Scope.ALL;

    /** How long after its first assignment a FINGERPRINTED task may be sent again. */
    public double dedupWindow;

    /** Expected work until running times have been seen; 0: unknown. */
    public double work;

    /** Priority in the queues of workers; higher runs first. */
    public int priority;

    /** Required machine kind, or -1. */
    public int kind = -1;

    double firstWork() {
        return work > 0 ? work : 1.5 * dueTime;
    }

    /** The settings that learned estimates depend on. Compared between processes: do not change. */
    @Override
    public String toString() {
        return String.join(
                " ",
                name,
                effect.toString(),
                dueTime + "+" + stretch,
                expiry + "",
                utility + "",
                priority + "",
                kind + "");
    }
}
