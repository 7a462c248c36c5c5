package gingerspool.dataplane;

import gingerspool.codec.Messages;

/**
 * Reports the demand of one function at this scheduler to the leader: a change in missing slots at
 * once, other changes with the queue's regular check. Counts restart with each registration.
 *
 * <p>Used by {@link FunctionQueue} on the event loop.
 */
final class DemandReporter {
    /** Marks a count that has not been reported since the registration. */
    private static final int NOT_REPORTED = -1;

    private final FunctionQueue.Environment environment;
    private final String function;
    private final RequestBacklog backlog;
    private final SlotInventory inventory;
    private final MeanServiceTime serviceTime;

    /** Slots of started instances that were granted since the registration. */
    private long grantedSlots;

    /** Requests that arrived since the registration. */
    private long arrivalCount;

    private int reportedMissing;
    private int reportedInFlight;
    private long reportedArrivalCount;

    DemandReporter(
            FunctionQueue.Environment environment,
            String function,
            RequestBacklog backlog,
            SlotInventory inventory,
            MeanServiceTime serviceTime) {
        this.environment = environment;
        this.function = function;
        this.backlog = backlog;
        this.inventory = inventory;
        this.serviceTime = serviceTime;
    }

    /** A new leader has registered this scheduler. */
    void reset() {
        grantedSlots = 0;
        arrivalCount = 0;
        reportedArrivalCount = 0;
        reportedMissing = 0;
        reportedInFlight = NOT_REPORTED;
    }

    void onArrival() {
        arrivalCount++;
    }

    /** Slots of a started instance were granted, so as many fewer are missing. */
    void onGrant(int slots) {
        grantedSlots += slots;
        reportedMissing = Math.max(0, reportedMissing - slots);
    }

    /** Reports to the leader if the number of missing slots has changed. */
    void reportMissing() {
        int missing = missingSlots();
        if (missing != reportedMissing) {
            report(missing);
        }
    }

    /** Reports to the leader if any count has changed. */
    void reportChanges() {
        int missing = missingSlots();
        if (missing != reportedMissing
                || backlog.inFlight() != reportedInFlight
                || arrivalCount != reportedArrivalCount) {
            report(missing);
        }
    }

    /** Whether the leader knows of requests in flight here. */
    boolean hasReportedRequests() {
        return reportedInFlight > 0;
    }

    private int missingSlots() {
        return Math.max(0, backlog.waitingForSlots() - inventory.usableSlots());
    }

    private void report(int missing) {
        int inFlight = backlog.inFlight();
        if (environment.sendToLeader(
                new Messages.SlotDemand(
                        function,
                        missing,
                        grantedSlots,
                        inFlight,
                        arrivalCount,
                        serviceTime.mean()))) {
            reportedMissing = missing;
            reportedInFlight = inFlight;
            reportedArrivalCount = arrivalCount;
        }
    }
}
