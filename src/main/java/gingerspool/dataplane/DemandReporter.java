package gingerspool.dataplane;

import gingerspool.codec.Messages;

/**
 * Tells the leader what one function needs here: slots that are missing at once, other changes when
 * it is asked to. Counts begin anew with each registration.
 */
final class DemandReporter {
    /** What was reported to nobody yet. */
    private static final int NOT_REPORTED = -1;

    private final FunctionQueue.Environment environment;
    private final String function;
    private final RequestBacklog backlog;
    private final SlotInventory inventory;
    private final MeanServiceTime serviceTime;

    /** Slots of started instances granted, and requests arrived, since the registration. */
    private long grantedSlots;

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

    /** A new leader registered this scheduler. */
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

    /** Slots of a started instance were granted: so many fewer are missing. */
    void onGrant(int slots) {
        grantedSlots += slots;
        reportedMissing = Math.max(0, reportedMissing - slots);
    }

    /** Reports where the slots that are missing have changed. */
    void reportMissing() {
        int missing = missingSlots();
        if (missing != reportedMissing) {
            report(missing);
        }
    }

    /** Reports where anything has changed. */
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
