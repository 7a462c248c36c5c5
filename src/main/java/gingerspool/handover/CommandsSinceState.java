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
    private final List<Runnable> waiting = new ArrayList<>();
    private long asks;
    private long lastNumber;

    /** The state is asked for, again or for the first time; returns which time it is. */
    long asked() {
        waiting.clear();
        lastNumber = 0;
        return ++asks;
    }

    /** Whether a command follows the latest request for the state. */
    boolean follows(long ask) {
        return ask == asks;
    }

    void waitForState(Runnable command) {
        waiting.add(command);
    }

    void carriedOut(long number) {
        lastNumber = number;
    }

    /** The number of the last one that was carried out. */
    long lastNumber() {
        return lastNumber;
    }

    void carryOutWaiting() {
        List<Runnable> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(Runnable::run);
    }
}
