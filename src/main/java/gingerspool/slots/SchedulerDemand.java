package gingerspool.slots;

/** One scheduler's demand for slots of one function: its latest report, and the grants to it. */
final class SchedulerDemand {
    /** The slots of started instances that its requests are waiting for. */
    int missingSlots;

    /** The requests that it holds, waiting or running. */
    int inFlight;

    /** The requests that have arrived at it since its link was established. */
    long arrivals;

    /** The slots of started instances granted to it since its link was established. */
    long granted;

    /** Since when it has been missing slots without being granted one, in milliseconds. */
    double missingSince;

    /** The slots that were recalled from it and that it has not returned yet. */
    int recalled;
}
