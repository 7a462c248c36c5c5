package gingerspool.dataplane;

import gingerspool.codec.Messages.InstanceCondition;
import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import gingerspool.wire.RequestSafeguard;
import java.io.IOException;

/**
 * Carries out the Dispatcher's assignments: sends each to its instance. When an attempt ends,
 * updates the slot counts, returns slots to the leader where needed, and notifies the Dispatcher,
 * in this order.
 *
 * <p>Used by {@link FunctionQueue} on the event loop.
 */
final class AttemptRunner implements Attempt.Owner {
    /** A request whose attempt was abandoned may keep running for this many mean service times. */
    private static final double UNCERTAIN_SERVICE_TIMES = 3;

    /**
     * The number of attempts that reached no instance and don't count against the route's maximum.
     */
    private static final int MAX_UNCOUNTED_ATTEMPTS = 3;

    /** Notified of the results of attempts. */
    interface Listener {
        /** The first successful answer to a request was received. */
        void onAnswer(PendingRequest request, Message answer);

        /** An instance rejected a request that used an unassigned slot. */
        void onUnassignedRejected();

        /** Slots may have become free. */
        void onSlotsChanged();
    }

    private final FunctionQueue.Environment environment;
    private final EventLoop loop;
    private final SlotInventory inventory;
    private final RequestBacklog backlog;
    private final FunctionDispatcher dispatcher;
    private final SlotReturns returns;
    private final AttemptTerms terms;
    private final MeanServiceTime serviceTime;
    private final Listener listener;
    private int rejections;

    AttemptRunner(
            FunctionQueue.Environment environment,
            SlotInventory inventory,
            RequestBacklog backlog,
            FunctionDispatcher dispatcher,
            SlotReturns returns,
            AttemptTerms terms,
            MeanServiceTime serviceTime,
            Listener listener) {
        this.environment = environment;
        this.inventory = inventory;
        this.backlog = backlog;
        this.dispatcher = dispatcher;
        this.returns = returns;
        this.terms = terms;
        this.serviceTime = serviceTime;
        this.listener = listener;
        loop = environment.loop();
    }

    /** Requests that instances have rejected because they were at capacity, since the start. */
    int rejections() {
        return rejections;
    }

    void send(Assignment assignment) {
        InstanceSlot slot = inventory.byWorker(assignment.worker);
        PendingRequest request = (PendingRequest) assignment.task;
        Attempt attempt = new Attempt(assignment, slot, loop, this);
        request.attempts.add(attempt);
        slot.inUse++;
        backlog.onAttemptStarted(request);
        String instance = loop.isEnabled(RequestSafeguard.EXPECTED_INSTANCE) ? slot.instance : null;
        try {
            attempt.begin(
                    environment.pool().acquire(slot.poolIndex, slot.address),
                    InstanceProtocol.encodeRequest(
                            request.request, instance, request.expiry - loop.now()),
                    null);
        } catch (IOException e) {
            loop.execute(attempt::failUnsent);
        }
    }

    /**
     * Aborts the attempt of an assignment in a later turn of the loop, as the Dispatcher calls this
     * while it is still applying its rules.
     */
    void cancel(Assignment assignment) {
        PendingRequest request = (PendingRequest) assignment.task;
        loop.execute(() -> request.attempts.get(assignment.number).abort(Outcome.CANCELLED));
    }

    @Override
    public void onAttemptEnded(Attempt attempt, Outcome outcome, Message answer) {
        double now = loop.now();
        InstanceSlot slot = attempt.slot;
        PendingRequest request = attempt.request;
        slot.inUse--;
        slot.idleSince = now;
        boolean isOver = request.ended();
        if (outcome == Outcome.OK) {
            serviceTime.add(now - attempt.sentAt);
            if (!isOver) {
                isOver = true;
                listener.onAnswer(request, answer);
            }
        } else {
            request.failure = answer != null ? answer : request.failure;
            onFailure(slot, outcome, answer, request);
        }
        backlog.onAttemptEnding(request);
        dispatcher.publishSlots(slot);
        dispatcher.onAttemptEnded(attempt.assignment, outcome, isOver);
        listener.onSlotsChanged();
    }

    private void onFailure(
            InstanceSlot slot, Outcome outcome, Message answer, PendingRequest request) {
        boolean isOtherInstance =
                answer != null && answer.status() == InstanceProtocol.OTHER_INSTANCE;
        if (outcome == Outcome.RESET || outcome == Outcome.CANCELLED) {
            markUncertain(slot, request);
        } else if (outcome == Outcome.UNREACHABLE || isOtherInstance) {
            environment.pool().closeIdle(slot.poolIndex);
            returns.returnSlots(slot, slot.unusedSlots(), InstanceCondition.UNREACHABLE);
            if (outcome == Outcome.UNREACHABLE
                    && request.unreachedAttempts < MAX_UNCOUNTED_ATTEMPTS) {
                // It was not sent, so it doesn't count against the attempts that the route allows.
                request.unreachedAttempts++;
                request.terms = terms.of(request);
            }
        } else if (outcome == Outcome.FULL) {
            onRejected(slot);
        }
    }

    /**
     * Guards the slot limit: an abandoned request may keep running, so its slot stays out of use
     * until it should have finished.
     */
    private void markUncertain(InstanceSlot slot, PendingRequest request) {
        double maxRemainingRun = UNCERTAIN_SERVICE_TIMES * Math.max(serviceTime.mean(), 1);
        slot.uncertain++;
        loop.schedule(
                Math.max(1, Math.min(request.expiry - loop.now(), maxRemainingRun)),
                () -> {
                    slot.uncertain--;
                    slot.idleSince = loop.now();
                    dispatcher.publishSlots(slot);
                    listener.onSlotsChanged();
                });
    }

    /** The instance was at capacity: returns a slot to the leader, or forgets an unassigned one. */
    private void onRejected(InstanceSlot slot) {
        rejections++;
        if (slot.isUnassigned) {
            slot.isUnassigned = false;
            slot.granted = Math.max(0, slot.granted - 1);
            listener.onUnassignedRejected();
            dispatcher.publishSlots(slot);
        }
        returns.returnSlots(slot, Math.min(1, slot.unusedSlots()), InstanceCondition.OVERLOADED);
    }
}
