package gingerspool.experiment;

import gingerspool.load.Load;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;

/**
 * Where faults are written down: the clients' record, kept on the loop of the load.
 *
 * <p>Thread: any; a note that changes whom clients choose blocks until the loop has taken it.
 */
final class FaultRecord {
    private final SingleThreadEventLoop loop;
    private final Load load;

    FaultRecord(SingleThreadEventLoop loop, Load load) {
        this.loop = loop;
        this.load = load;
    }

    /** Notes what befalls a scheduler now, and waits until clients heed it. */
    void scheduler(int scheduler, String what) throws IOException, InterruptedException {
        LoopCalls.on(loop, () -> load.note(scheduler, what, loop.now()));
    }

    /**
     * Notes that a process of a scheduler was paused, or went on, at this time, and how many others
     * of that scheduler lived then, or since the pause began.
     */
    void pauseAt(int scheduler, String what, double atMs, long pid, int others) {
        loop.submit(() -> load.notePause(scheduler, what, atMs, pid, others));
    }

    /** Notes what befell the tool or the disk at this time. */
    void machineAt(String part, String what, double atMs) {
        loop.submit(() -> load.note(part, what, atMs));
    }

    double now() {
        return loop.now();
    }
}
