package gingerspool.store;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.LoadReport;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import gingerspool.wire.WorkerProtocol;
import java.util.concurrent.Future;

/**
 * One assignment under way. Every race between its possible ends is decided in end(): the first
 * counts.
 */
public final class WorkerAttempt implements Outbound.Caller {
    /** Who is told how it ended. */
    public interface Owner {
        void ended(WorkerAttempt attempt, Outcome how, double[] report);

        /** The worker has the task and is to be told to let it go. */
        void giveUp(WorkerAttempt attempt);
    }

    public final Assignment assignment;
    public final ClientTask task;
    private final LoadReport reports;
    private final Owner owner;

    /** Carries the request until the worker has answered it. */
    private Outbound connection;

    private Future<?> alarm;
    private boolean taken;
    private boolean over;
    private boolean byCallBack;

    public WorkerAttempt(Assignment assignment, LoadReport reports, Owner owner) {
        this.assignment = assignment;
        this.reports = reports;
        this.owner = owner;
        task = (ClientTask) assignment.task;
    }

    /** Begins: the connection may be null where there was none to be had. */
    public void begin(Outbound connection, Future<?> alarm) {
        this.connection = connection;
        this.alarm = alarm;
    }

    public boolean isOver() {
        return over;
    }

    /** Whether it ended by a call-back, of which repeats may still come. */
    public boolean endedByCallBack() {
        return byCallBack;
    }

    @Override
    public void answered(Message answer) {
        connection = null;
        Outcome how = WorkerProtocol.outcome(answer);
        if (how == null) {
            taken = true;
        } else {
            end(how, reports.read(WorkerProtocol.load(answer)));
        }
    }

    @Override
    public void broke(boolean allWritten) {
        connection = null;
        if (!taken) {
            end(allWritten ? Outcome.RESET : Outcome.UNREACHABLE, null);
        }
    }

    /** A call-back told its end. */
    public void told(Outcome how, double[] report) {
        byCallBack = !over;
        end(how, report);
    }

    /**
     * The wait is over, by the clock or by decision: gives it up on the wire before anything else.
     */
    public void giveUp(Outcome how) {
        if (over) {
            return;
        }
        if (connection != null) {
            connection.drop();
            connection = null;
        } else if (taken) {
            owner.giveUp(this);
        }
        end(how, null);
    }

    /** Takes it back if the worker has not got its first byte: then it never ran. */
    public void takeBack() {
        if (!over && connection != null && !connection.hasBegun()) {
            connection.drop();
            connection = null;
            end(Outcome.MOOT, null);
        }
    }

    /** It could not even begin. */
    public void fail(Outcome how) {
        end(how, null);
    }

    private void end(Outcome how, double[] report) {
        if (over) {
            return;
        }
        over = true;
        if (alarm != null) {
            alarm.cancel(false);
        }
        owner.ended(this, how, report);
    }
}
