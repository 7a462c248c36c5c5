package gingerspool.store;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.LoadReport;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import gingerspool.wire.WorkerProtocol;
import java.util.concurrent.Future;

/**
 * One assignment of a task to a worker, from sending its request to its outcome. The outcome may
 * come from the worker's response, a callback, a broken connection, a timeout or a cancellation;
 * the first of them counts, and {@link #end} ignores all others.
 *
 * <p>Created by the daemon's scheduler for each assignment. Called on the scheduler's event loop
 * thread: by the connection that carries the request, by the timeout timer and by the scheduler.
 */
public final class WorkerAttempt implements Outbound.Caller {
    /** Receives the outcome of an attempt; implemented by the scheduler. */
    public interface Owner {
        /**
         * Called once per attempt, when its outcome is decided.
         *
         * @param report the worker's load report, or null
         */
        void ended(WorkerAttempt attempt, Outcome outcome, double[] report);

        /** Asks the worker, which has accepted the task, to cancel it. */
        void cancelOnWorker(WorkerAttempt attempt);
    }

    public final Assignment assignment;
    public final ClientTask task;
    private final LoadReport loadReport;
    private final Owner owner;

    /** The connection that carries the request; null before that and after the response. */
    private Outbound connection;

    private Future<?> timeoutTimer;

    /** Whether the worker's response accepted the task, so that its outcome comes by callback. */
    private boolean accepted;

    /** Whether the attempt has its outcome. */
    private boolean over;

    private boolean endedByCallback;

    public WorkerAttempt(Assignment assignment, LoadReport loadReport, Owner owner) {
        this.assignment = assignment;
        this.loadReport = loadReport;
        this.owner = owner;
        task = (ClientTask) assignment.task;
    }

    /** Sets the timer and the request's connection, which is null if none was available. */
    public void begin(Outbound connection, Future<?> timeoutTimer) {
        this.connection = connection;
        this.timeoutTimer = timeoutTimer;
    }

    public boolean isOver() {
        return over;
    }

    /** Whether the outcome came by callback, so that repeats of that callback may still arrive. */
    public boolean endedByCallback() {
        return endedByCallback;
    }

    @Override
    public void answered(Message answer) {
        connection = null;
        Outcome outcome = WorkerProtocol.outcome(answer);
        if (outcome == null) {
            accepted = true;
        } else {
            end(outcome, loadReport.read(WorkerProtocol.load(answer)));
        }
    }

    @Override
    public void broke(boolean allWritten) {
        connection = null;
        if (!accepted) {
            end(allWritten ? Outcome.RESET : Outcome.UNREACHABLE, null);
        }
    }

    /** Ends the attempt with the outcome that the worker's callback reports. */
    public void callbackReceived(Outcome outcome, double[] report) {
        endedByCallback = !over;
        end(outcome, report);
    }

    /**
     * Ends the attempt after a timeout or a cancellation. First drops the request's connection or,
     * if the worker has accepted the task, asks the worker to cancel it.
     */
    public void abort(Outcome outcome) {
        if (over) {
            return;
        }
        if (connection != null) {
            connection.drop();
            connection = null;
        } else if (accepted) {
            owner.cancelOnWorker(this);
        }
        end(outcome, null);
    }

    /** Withdraws the request if none of it has been sent: then the task never ran. */
    public void withdraw() {
        if (!over && connection != null && !connection.hasBegun()) {
            connection.drop();
            connection = null;
            end(Outcome.MOOT, null);
        }
    }

    /** Ends an attempt whose request could not be sent. */
    public void fail(Outcome outcome) {
        end(outcome, null);
    }

    private void end(Outcome outcome, double[] report) {
        if (over) {
            return;
        }
        over = true;
        if (timeoutTimer != null) {
            timeoutTimer.cancel(false);
        }
        owner.ended(this, outcome, report);
    }
}
