package gingerspool.storage;

import gingerspool.consensus.LogWrite;
import java.util.ArrayList;
import java.util.List;
import org.jctools.queues.SpscUnboundedArrayQueue;

/** The queue of pending writes: the event loop adds to it, the log's thread drains it. */
final class WriteQueue {
    private static final int CHUNK_SIZE = 64;

    private final SpscUnboundedArrayQueue<LogWrite> queue =
            new SpscUnboundedArrayQueue<>(CHUNK_SIZE);

    /** Called on the event loop only. */
    void add(LogWrite write) {
        queue.add(write);
    }

    /**
     * Removes all pending writes and returns those with a higher ticket, in order. Called on the
     * log's thread only.
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
