package gingerspool.slots;

/** What one scheduler last reported to need of one function, and what it was granted since. */
final class SchedulerDemand {
    /** Slots at started instances that its requests wait for. */
    int missingSlots;

    /** Requests that it holds, waiting or running. */
    int inFlight;

    /** Requests that have arrived, on this link. */
    long arrivals;

    /** Slots of started instances granted to it, on this link. */
    long granted;

    /** Since when it has missed slots without being granted one. */
    double missingSince;

    /** Slots that were recalled from it and have not come back. */
    int recalled;
}
