package gingerspool.dataplane;

import gingerspool.configuration.Route;
import gingerspool.dispatch.Task;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * A client's request that has not been answered yet. Holds state only; times are in milliseconds on
 * the loop's clock. Created by {@link RequestRouter} and used on the event loop.
 */
final class PendingRequest extends Task {
    final Message request;
    final Route route;
    final double arrivedAt;

    /** When the latency target of its route ends. */
    final double dueAt;

    /**
     * Orders requests of the same priority; the lowest value goes first. A request that arrived
     * with less time than its route allows was rejected before, or is a nested call by an instance,
     * which occupies a slot there until it is answered; either is more urgent.
     */
    final double urgentAt;

    /**
     * Whether it arrived with nearly all the time that its route allows, so that no earlier attempt
     * of it was rejected.
     */
    final boolean isFirstAttempt;

    /** Null once the request was answered or the client has disconnected. */
    Inbound client;

    /** Null until it is set. */
    Future<?> expiryTimer;

    /** Whether it was passed to the Dispatcher; before that it waits in the backlog for a slot. */
    boolean isDispatched;

    /** All attempts, current and ended, indexed by assignment number. */
    final List<Attempt> attempts = new ArrayList<>(1);

    /**
     * The number of attempts that reached no instance and don't count against the route's maximum.
     */
    int unreachedAttempts;

    /** The last failure that an instance answered with, for the client if no attempt succeeds. */
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

    /** Whether any instance may have run it. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(attempt -> !attempt.neverRan());
    }
}
