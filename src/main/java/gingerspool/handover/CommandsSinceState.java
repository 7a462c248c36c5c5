package gingerspool.handover;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the operators' commands that the predecessor has sent since this process last requested
 * its state. They are newer than the state, so they are deferred until it has been adopted.
 *
 * <p>Thread: the event loop. Used by {@link Handover}, {@link PredecessorSearch} and {@link
 * CommandPropagation}.
 */
final class CommandsSinceState {
    private final List<Runnable> deferred = new ArrayList<>();
    private long requestCount;
    private long lastAppliedNumber;

    /** The state is requested, for the first time or again; returns the number of the request. */
    long stateRequested() {
        deferred.clear();
        lastAppliedNumber = 0;
        return ++requestCount;
    }

    /** Whether this is the number of the latest state request. */
    boolean isLatestRequest(long requestNumber) {
        return requestNumber == requestCount;
    }

    void defer(Runnable command) {
        deferred.add(command);
    }

    void applied(long number) {
        lastAppliedNumber = number;
    }

    /** The number of the last command applied since the state request, 0 if none was. */
    long lastAppliedNumber() {
        return lastAppliedNumber;
    }

    void applyDeferred() {
        List<Runnable> commands = List.copyOf(deferred);
        deferred.clear();
        commands.forEach(Runnable::run);
    }
}
