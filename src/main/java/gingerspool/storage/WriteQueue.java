package gingerspool.storage;

import gingerspool.consensus.LogWrite;
import java.util.ArrayList;
import java.util.List;
import org.jctools.queues.SpscUnboundedArrayQueue;

/** Changes on their way from the loop, which adds, to the log's thread, which takes. */
final class WriteQueue {
    private static final int CHUNK = 64;

    private final SpscUnboundedArrayQueue<LogWrite> queue = new SpscUnboundedArrayQueue<>(CHUNK);

    /** By the loop only. */
    void add(LogWrite change) {
        queue.add(change);
    }

    /**
     * By the log's thread only: all that has come, in order, but for what this ticket covers
     * already.
     */
    List<LogWrite> takeBeyond(long ticket) {
        List<LogWrite> all = new ArrayList<>();
        queue.drain(
                c -> {
                    if (c.ticket() > ticket) {
                        all.add(c);
                    }
                });
        return all;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }
}
