package gingerspool.dataplane;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import gingerspool.wire.RequestSafeguard;
import java.util.concurrent.Future;

/** One assignment under way to an instance. The first of its possible ends counts. */
final class Attempt implements Outbound.Caller {
    /** Who is told how it ended; the answer is null where there is none of ours. */
    interface Owner {
        void onAttemptEnded(Attempt attempt, Outcome outcome, Message answer);
    }

    final Assignment assignment;
    final PendingRequest request;
    final InstanceSlot slot;
    final double sentAt;
    private final EventLoop loop;
    private final Owner owner;
    private Outbound connection;
    private Future<?> timeoutTimer;
    private Outcome outcome;

    Attempt(Assignment assignment, InstanceSlot slot, EventLoop loop, Owner owner) {
        this.assignment = assignment;
        this.slot = slot;
        this.loop = loop;
        sentAt = loop.now();
        this.owner = owner;
        request = (PendingRequest) assignment.task;
    }

    void begin(Outbound outbound, byte[] encodedRequest, Future<?> timer) {
        connection = outbound;
        timeoutTimer = timer;
        outbound.ask(encodedRequest, 0, this);
    }

    boolean neverRan() {
        return outcome != null && outcome.neverRan();
    }

    /** Whether a byte of it may have been written. */
    boolean hasBegun() {
        return connection != null && connection.hasBegun();
    }

    boolean isOver() {
        return outcome != null;
    }

    /** Guards against answers that come too late, in the place of ours: the id tells. */
    @Override
    public boolean isMine(Message answer) {
        String id = answer.field("request-id");
        return id == null || id.equals(request.id) || !loop.has(RequestSafeguard.RESPONSE_ID);
    }

    /** Guards against answers that are cut: only a length that was told shows that one is whole. */
    @Override
    public boolean takesUnframed() {
        return false;
    }

    /** Guards the next request: who answers this doubtfully may have more of it under way. */
    @Override
    public boolean mayKeep(Message answer) {
        return !InstanceProtocol.isSuspect(answer, request.id)
                || !loop.has(RequestSafeguard.DOUBTFUL_RESPONSE_CLOSES);
    }

    @Override
    public void answered(Message answer) {
        connection = null;
        end(InstanceProtocol.outcome(answer, request.id, loop::has), answer);
    }

    @Override
    public void broke(boolean allWritten) {
        // Only where not a byte was written it is sure that it never ran.
        boolean begun = hasBegun();
        connection = null;
        end(
                begun && loop.has(RequestSafeguard.BYTE_WRITTEN)
                        ? Outcome.RESET
                        : Outcome.UNREACHABLE,
                null);
    }

    /** Ends it from here: the connection goes, and what the instance does of it is not known. */
    void abort(Outcome outcomeIfSent) {
        if (outcome != null) {
            return;
        }
        Outbound dropped = connection;
        connection = null;
        boolean begun = dropped != null && dropped.hasBegun();
        if (dropped != null) {
            dropped.drop();
        }
        end(begun ? outcomeIfSent : Outcome.MOOT, null);
    }

    /** It could not begin. */
    void fail() {
        end(Outcome.UNREACHABLE, null);
    }

    private void end(Outcome newOutcome, Message answer) {
        if (outcome != null) {
            return;
        }
        outcome = newOutcome;
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
        owner.onAttemptEnded(this, newOutcome, answer);
    }
}
