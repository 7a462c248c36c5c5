package gingerspool.dataplane;

import gingerspool.configuration.Route;
import gingerspool.dispatch.Task;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/** A client's request in flight. Facts only. */
final class PendingRequest extends Task {
    final Message request;
    final Route route;
    final double arrivedAt;

    /** Within which the answer earns its full worth. */
    final double dueAt;

    /**
     * Orders requests of one priority. One that came with less time than its route gives was
     * rejected before, or is a call of a worker that keeps a slot busy until it is answered: it
     * goes first.
     */
    final double urgentAt;

    /**
     * Whether it came with nearly all the time that such requests have: no earlier attempt of it
     * was rejected.
     */
    final boolean isFirstAttempt;

    /** Null once it has its answer or the client has gone. */
    Inbound client;

    Future<?> expiryTimer;

    /** Whether the Dispatcher has it; before that it waits for a slot. */
    boolean isDispatched;

    /** Those under way and those that ended, by number of the assignment. */
    final List<Attempt> attempts = new ArrayList<>(1);

    /** Assignments that reached no instance. */
    int unreachedAttempts;

    /** A failure of a worker, to be passed on if nothing better comes. */
    Message failure;

    PendingRequest(
            String id,
            Inbound client,
            Message request,
            Route route,
            double arrivedAt,
            double dueAt,
            double urgentAt,
            boolean isFirstAttempt) {
        super(id);
        this.client = client;
        this.request = request;
        this.route = route;
        this.arrivedAt = arrivedAt;
        this.dueAt = dueAt;
        this.urgentAt = urgentAt;
        this.isFirstAttempt = isFirstAttempt;
    }

    boolean isSafe() {
        return route.getKind().equals("safe");
    }

    /** Whether some worker may have run it. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> !attempt.neverRan());
    }
}
