package gingerspool.handover;

import java.util.ArrayList;
import java.util.List;

/**
 * The commands that the process before this one told since it was asked for its state: they are
 * later than the state, so they wait for it.
 *
 * <p>Thread: the event loop.
 */
final class CommandsSinceState {
    private final List<Runnable> deferred = new ArrayList<>();
    private long requestCount;
    private long lastAppliedNumber;

    /** The state is asked for, again or for the first time; returns which time it is. */
    long stateRequested() {
        deferred.clear();
        lastAppliedNumber = 0;
        return ++requestCount;
    }

    /** Whether a command follows the latest request for the state. */
    boolean isLatestRequest(long requestNumber) {
        return requestNumber == requestCount;
    }

    void defer(Runnable command) {
        deferred.add(command);
    }

    void applied(long number) {
        lastAppliedNumber = number;
    }

    /** The number of the last one that was carried out. */
    long lastAppliedNumber() {
        return lastAppliedNumber;
    }

    void applyDeferred() {
        List<Runnable> commands = List.copyOf(deferred);
        deferred.clear();
        commands.forEach(Runnable::run);
    }
}
