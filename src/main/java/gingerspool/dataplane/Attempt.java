package gingerspool.dataplane;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import java.util.concurrent.Future;

/** One assignment under way to an instance. The first of its possible ends counts. */
final class Attempt implements Outbound.Caller {
    /** Who is told how it ended; the answer is null where there is none of ours. */
    interface Home {
        void ended(Attempt trip, Outcome how, Message answer);
    }

    final Assignment assignment;
    final PendingRequest visit;
    final InstanceSlot seat;
    final double sentAt;
    private final Home home;
    private Outbound connection;
    private Future<?> alarm;
    private Outcome how;

    Attempt(Assignment assignment, InstanceSlot seat, double sentAt, Home home) {
        this.assignment = assignment;
        this.seat = seat;
        this.sentAt = sentAt;
        this.home = home;
        visit = (PendingRequest) assignment.task;
    }

    void begin(Outbound on, byte[] request, Future<?> timer) {
        connection = on;
        alarm = timer;
        on.ask(request, 0, this);
    }

    boolean neverRan() {
        return how != null && how.neverRan();
    }

    boolean isOver() {
        return how != null;
    }

    /** Guards against answers that come too late, in the place of ours: the id tells. */
    @Override
    public boolean isMine(Message answer) {
        String id = answer.field("request-id");
        return id == null || id.equals(visit.id);
    }

    @Override
    public void answered(Message answer) {
        connection = null;
        end(InstanceResponse.outcome(answer), answer);
    }

    @Override
    public void broke(boolean allWritten) {
        // Only where not a byte was written it is sure that it never ran.
        boolean begun = connection != null && connection.hasBegun();
        connection = null;
        end(begun ? Outcome.RESET : Outcome.UNREACHABLE, null);
    }

    /** Ends it from here: the connection goes, and what the instance does of it is not known. */
    void giveUp(Outcome as) {
        if (how != null) {
            return;
        }
        Outbound was = connection;
        connection = null;
        boolean begun = was != null && was.hasBegun();
        if (was != null) {
            was.drop();
        }
        end(begun ? as : Outcome.MOOT, null);
    }

    /** It could not begin. */
    void fail() {
        end(Outcome.UNREACHABLE, null);
    }

    private void end(Outcome as, Message answer) {
        if (how != null) {
            return;
        }
        how = as;
        if (alarm != null) {
            alarm.cancel(false);
        }
        home.ended(this, as, answer);
    }
}
