package gingerspool.storage;

import gingerspool.consensus.LogWrite;
import java.util.ArrayList;
import java.util.List;
import org.jctools.queues.SpscUnboundedArrayQueue;

/** Changes on their way from the loop, which adds, to the log's thread, which takes. */
final class WriteQueue {
    private static final int CHUNK_SIZE = 64;

    private final SpscUnboundedArrayQueue<LogWrite> queue =
            new SpscUnboundedArrayQueue<>(CHUNK_SIZE);

    /** By the loop only. */
    void add(LogWrite write) {
        queue.add(write);
    }

    /**
     * By the log's thread only: all that has come, in order, but for what this ticket covers
     * already.
     */
    List<LogWrite> drainAfter(long ticket) {
        List<LogWrite> drained = new ArrayList<>();
        queue.drain(
                write -> {
                    if (write.ticket() > ticket) {
                        drained.add(write);
                    }
                });
        return drained;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }
}
