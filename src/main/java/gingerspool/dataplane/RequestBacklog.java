package gingerspool.dataplane;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The requests of one function that a scheduler holds: those that wait for a slot, the most urgent
 * first, and how many the Dispatcher has.
 */
final class RequestBacklog {
    private final PriorityQueue<PendingRequest> waiting =
            new PriorityQueue<>(
                    Comparator.comparingInt((PendingRequest r) -> r.route.getPriority())
                            .thenComparingDouble(r -> r.urgentAt));
    private int inFlight;

    /** Requests with an attempt under way. */
    private int requestsWithAttempts;

    void add(PendingRequest request) {
        inFlight++;
        waiting.add(request);
    }

    /** Takes the most urgent one out, for the Dispatcher. */
    PendingRequest poll() {
        return waiting.poll();
    }

    /** Takes one out that is not to be dispatched. */
    void remove(PendingRequest request) {
        waiting.remove(request);
    }

    /** A request has its answer, or its client has gone. */
    void onRequestEnded() {
        inFlight--;
    }

    /** To be called when an attempt has been added to a request. */
    void onAttemptStarted(PendingRequest request) {
        requestsWithAttempts += request.outstanding() == 1 ? 1 : 0;
    }

    /** To be called when an attempt has ended, before the Dispatcher is told. */
    void onAttemptEnding(PendingRequest request) {
        requestsWithAttempts -= request.outstanding() == 1 ? 1 : 0;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    List<PendingRequest> waiting() {
        return List.copyOf(waiting);
    }

    /** All requests that are held, waiting or running. */
    int inFlight() {
        return inFlight;
    }

    /** Requests that the Dispatcher has without any attempt under way: they come first. */
    int waitingAtDispatcher() {
        return Math.max(0, inFlight - waiting.size() - requestsWithAttempts);
    }

    /** Requests that wait for a slot, here or at the Dispatcher. */
    int waitingForSlots() {
        return waiting.size() + waitingAtDispatcher();
    }

    /** Whether some request has no attempt under way. */
    boolean hasUnattempted() {
        return inFlight > requestsWithAttempts;
    }
}
