package gingerspool.judge;

/** What the record of a play shows beside a violation. */
public enum Cause {
    /** Nothing: it counts against the scheduler. */
    UNEXPLAINED,

    /** The process was paused by the tool, and did in time after that what it owed. */
    SCHEDULER_PAUSED,

    /** The tool itself was late, so that its record can't tell. */
    TOOL_LATE
}
