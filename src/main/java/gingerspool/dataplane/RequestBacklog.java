package gingerspool.dataplane;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The requests of one function that a scheduler holds: those waiting for a slot, the most urgent
 * first, and the number of those passed to the Dispatcher.
 *
 * <p>Used by {@link FunctionQueue} and its parts, on the event loop.
 */
final class RequestBacklog {
    private final PriorityQueue<PendingRequest> waiting =
            new PriorityQueue<>(
                    Comparator.comparingInt((PendingRequest r) -> r.route.getPriority())
                            .thenComparingDouble(r -> r.urgentAt));
    private int inFlight;

    /** Requests with at least one attempt in flight. */
    private int requestsWithAttempts;

    void add(PendingRequest request) {
        inFlight++;
        waiting.add(request);
    }

    /** Removes the most urgent waiting request, to pass it to the Dispatcher. */
    PendingRequest poll() {
        return waiting.poll();
    }

    /** Removes a waiting request that will not be dispatched. */
    void remove(PendingRequest request) {
        waiting.remove(request);
    }

    /** A request was answered or rejected, or its client has disconnected. */
    void onRequestEnded() {
        inFlight--;
    }

    /** Must be called after an attempt was added to a request. */
    void onAttemptStarted(PendingRequest request) {
        requestsWithAttempts += request.outstanding() == 1 ? 1 : 0;
    }

    /** Must be called when an attempt has ended, before the Dispatcher is notified. */
    void onAttemptEnding(PendingRequest request) {
        requestsWithAttempts -= request.outstanding() == 1 ? 1 : 0;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    List<PendingRequest> waiting() {
        return List.copyOf(waiting);
    }

    /** All requests that are held, waiting or dispatched. */
    int inFlight() {
        return inFlight;
    }

    /** Requests at the Dispatcher without any attempt in flight; they get slots first. */
    int waitingAtDispatcher() {
        return Math.max(0, inFlight - waiting.size() - requestsWithAttempts);
    }

    /** Requests that wait for a slot, in the backlog or at the Dispatcher. */
    int waitingForSlots() {
        return waiting.size() + waitingAtDispatcher();
    }

    /** Whether any request has no attempt in flight. */
    boolean hasUnattempted() {
        return inFlight > requestsWithAttempts;
    }
}
