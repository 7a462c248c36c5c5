package gingerspool.barograph;

import gingerspool.weathervane.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jctools.queues.SpscUnboundedArrayQueue;

/**
 * The ledger's own thread: takes changes from the loop and writes them one after the other, whatever the disk
 * does. When the disk fails it asks for the whole content and tries to write that, until it can.
 */
public final class Writer {
    private static final Logger LOG = LogManager.getLogger(Writer.class);
    private static final int CHUNK = 64;
    /** How long it waits after the disk has failed, in milliseconds. */
    private static final long PAUSE = 100;

    private final Ledger ledger;
    private final Executor loop;
    private final LongConsumer saved;
    private final Supplier<Change> whole;
    private final SpscUnboundedArrayQueue<Change> queue = new SpscUnboundedArrayQueue<>(CHUNK);
    private final Thread thread = new Thread(this::run, "ledger");
    private volatile boolean ended;
    private volatile boolean failing;

    /** What is saved, and the demand for the whole content, come as turns of the loop. */
    public Writer(Ledger ledger, Executor loop, LongConsumer saved, Supplier<Change> whole) {
        this.ledger = ledger;
        this.loop = loop;
        this.saved = saved;
        this.whole = whole;
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Called on the loop. */
    public void save(Change change) {
        queue.add(change);
        LockSupport.unpark(thread);
    }

    /** Whether the last attempt to write failed. */
    public boolean isFailing() {
        return failing;
    }

    public void end() {
        ended = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        while (!ended) {
            try {
                if (failing || ledger.isFull()) {
                    rewrite();
                } else if (queue.isEmpty()) {
                    LockSupport.park(this);
                } else {
                    write(taken());
                }
            } catch (LedgerException e) {
                if (!failing) {
                    LOG.warn("ledger.failing why=\"{}\"", e.getMessage());
                }
                failing = true;
                LockSupport.parkNanos(PAUSE * 1_000_000);
            }
        }
        ledger.close();
    }

    private List<Change> taken() {
        List<Change> all = new ArrayList<>();
        queue.drain(all::add);
        return all;
    }

    private void write(List<Change> changes) throws LedgerException {
        if (!changes.isEmpty()) {
            ledger.save(changes);
            done(changes.get(changes.size() - 1).ticket());
        }
    }

    /** The newest content holds whatever waits, up to its ticket. */
    private void rewrite() throws LedgerException {
        CompletableFuture<Change> content = new CompletableFuture<>();
        loop.execute(() -> content.complete(whole.get()));
        Change all;
        try {
            all = content.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new LedgerException("no content to write", e);
        }
        List<Change> later = taken();
        later.removeIf(c -> c.ticket() <= all.ticket());
        ledger.rewrite(all);
        if (failing) {
            LOG.info("ledger.writing_again");
        }
        failing = false;
        done(all.ticket());
        write(later);
    }

    private void done(long ticket) {
        loop.execute(() -> saved.accept(ticket));
    }
}
