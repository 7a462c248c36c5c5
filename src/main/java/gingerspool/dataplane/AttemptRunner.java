package gingerspool.dataplane;

import gingerspool.codec.Messages.InstanceCondition;
import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import gingerspool.wire.RequestSafeguard;
import java.io.IOException;

/**
 * Carries out the Dispatcher's assignments: sends each to its instance, and tells of its end the
 * slots' books, the leader and the Dispatcher, in this order.
 */
final class AttemptRunner implements Attempt.Owner {
    /** What was given up may run on for so many service times. */
    private static final double UNCERTAIN_SERVICE_TIMES = 3;

    /** So many attempts of a request that reached no instance don't count by its route. */
    private static final int MAX_UNCOUNTED_ATTEMPTS = 3;

    /** Who is told what follows. */
    interface Listener {
        /** A request has the answer of an instance, its first one. */
        void onAnswer(PendingRequest request, Message answer);

        /** A slot taken without a leader was rejected. */
        void onUnassignedRejected();

        /** Slots may have fallen free. */
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

    /** Requests that instances rejected as too many, since the start. */
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
        String instance = loop.has(RequestSafeguard.EXPECTED_INSTANCE) ? slot.instance : null;
        try {
            attempt.begin(
                    environment.pool().take(slot.poolIndex, slot.address),
                    InstanceProtocol.encodeRequest(
                            request.request, instance, request.expiry - loop.now()),
                    null);
        } catch (IOException e) {
            loop.execute(attempt::fail);
        }
    }

    /** Not at once: the Dispatcher is in the middle of its rules. */
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
            environment.pool().empty(slot.poolIndex);
            returns.returnSlots(slot, slot.unusedSlots(), InstanceCondition.UNREACHABLE);
            if (outcome == Outcome.UNREACHABLE
                    && request.unreachedAttempts < MAX_UNCOUNTED_ATTEMPTS) {
                // It was sent to nobody, so it is none of the attempts that its route allows.
                request.unreachedAttempts++;
                request.terms = terms.of(request);
            }
        } else if (outcome == Outcome.FULL) {
            onRejected(slot);
        }
    }

    /** Guards the limit of slots: what was given up may run on for a while. */
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
