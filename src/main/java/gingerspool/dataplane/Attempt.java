package gingerspool.dataplane;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import gingerspool.wire.RequestSafeguard;
import java.util.concurrent.Future;

/**
 * One attempt to run a request at an instance, made for one assignment of the Dispatcher. It has
 * several possible ends (response, broken connection, cancellation); only the first one counts.
 * Created by {@link AttemptRunner} and used on the event loop.
 */
final class Attempt implements Outbound.Caller {
    /** Notified once when the attempt has ended; the answer is null if none was received for it. */
    interface Owner {
        void onAttemptEnded(Attempt attempt, Outcome outcome, Message answer);
    }

    final Assignment assignment;
    final PendingRequest request;
    final InstanceSlot slot;

    /** In milliseconds on the loop's clock. */
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

    /** Sends the request on a connection; the timer, which may be null, is cancelled at the end. */
    void begin(Outbound outbound, byte[] encodedRequest, Future<?> timer) {
        connection = outbound;
        timeoutTimer = timer;
        outbound.ask(encodedRequest, 0, this);
    }

    boolean neverRan() {
        return outcome != null && outcome.neverRan();
    }

    /** Whether any byte of the request may have been written. */
    boolean hasBegun() {
        return connection != null && connection.hasBegun();
    }

    boolean isOver() {
        return outcome != null;
    }

    /**
     * Guards against late answers to earlier requests on the same connection: the Request-Id must
     * match, if there is one.
     */
    @Override
    public boolean isMine(Message answer) {
        String id = answer.field("request-id");
        return id == null || id.equals(request.id) || !loop.isEnabled(RequestSafeguard.RESPONSE_ID);
    }

    /**
     * Guards against truncated answers: without a declared length it can't be known whether an
     * answer is complete.
     */
    @Override
    public boolean takesUnframed() {
        return false;
    }

    /**
     * Guards the next request: after a suspect answer more bytes of it may follow, so the
     * connection is not reused.
     */
    @Override
    public boolean mayKeep(Message answer) {
        return !InstanceProtocol.isSuspect(answer, request.id)
                || !loop.isEnabled(RequestSafeguard.DOUBTFUL_RESPONSE_CLOSES);
    }

    @Override
    public void answered(Message answer) {
        connection = null;
        end(InstanceProtocol.outcome(answer, request.id, loop::isEnabled), answer);
    }

    @Override
    public void broke(boolean allWritten) {
        // The request is known not to have run only if no byte of it was written.
        boolean begun = hasBegun();
        connection = null;
        end(
                begun && loop.isEnabled(RequestSafeguard.BYTE_WRITTEN)
                        ? Outcome.RESET
                        : Outcome.UNREACHABLE,
                null);
    }

    /**
     * Aborts the attempt and closes its connection. If anything was sent, the attempt ends with
     * `outcomeIfSent`, as the instance may still run the request.
     */
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

    /** Ends the attempt because no connection to the instance could be opened. */
    void failUnsent() {
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
