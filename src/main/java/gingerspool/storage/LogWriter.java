package gingerspool.storage;

import dev.failsafe.Failsafe;
import dev.failsafe.FailsafeException;
import dev.failsafe.RetryPolicy;
import dev.failsafe.function.CheckedRunnable;
import gingerspool.consensus.LogWrite;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The durable log's own thread: reads what the disk holds, then takes changes from the loop and
 * writes them one after the other, whatever the disk does. At the start, and when the disk has
 * failed, it asks for the whole content and tries to write that, until it can.
 */
public final class LogWriter {
    private static final Logger LOG = LoggerFactory.getLogger(LogWriter.class);

    /** How long it waits after the disk has failed. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

    /** Who the log is kept for; all calls come on the loop. */
    public interface Owner {
        /** What the disk held; from now on changes may be saved. */
        void recovered(RecoveredLog found);

        /** The log can't be used by this version; the thread has ended. */
        void unusable(StorageException why);

        /** The changes up to this ticket are durable. */
        void persisted(long ticket);

        /** All content, under a ticket of its own. */
        LogWrite fullState();
    }

    private final DurableLog log;
    private final Executor loop;
    private final Owner owner;
    private final WriteQueue backlog = new WriteQueue();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean isEnded;
    private volatile boolean isFailing;

    /** What the newest file holds is unknown, or there may be torn bytes behind it. */
    private boolean mustRewrite = true;

    /** A disk that fails is tried for as long as it takes. */
    private final RetryPolicy<Object> untilDone =
            RetryPolicy.builder()
                    .handle(StorageException.class)
                    .abortOn(UnsupportedFormatException.class)
                    .withMaxRetries(-1)
                    .withDelay(RETRY_PAUSE)
                    .abortIf((persisted, why) -> isEnded)
                    .onFailedAttempt(e -> failed(e.getLastException()))
                    .build();

    /** The executor runs the owner's calls on the event loop; the thread starts with start(). */
    public LogWriter(DurableLog log, Executor loop, Owner owner) {
        this.log = log;
        this.loop = loop;
        this.owner = owner;
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Called on the loop. */
    public void save(LogWrite change) {
        backlog.add(change);
        LockSupport.unpark(thread);
    }

    /** Whether the last attempt to read or write failed. */
    public boolean isFailing() {
        return isFailing;
    }

    public void end() {
        isEnded = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        if (runUntilDone(this::recover)) {
            while (!isEnded) {
                if (backlog.isEmpty() && !log.isFull() && !mustRewrite) {
                    LockSupport.park(this);
                } else {
                    runUntilDone(this::writeNext);
                }
            }
        }
        log.close();
    }

    /** False where it ended first, or the log can't be used. */
    private boolean runUntilDone(CheckedRunnable what) {
        try {
            Failsafe.with(untilDone).run(what);
            return true;
        } catch (FailsafeException e) {
            if (e.getCause() instanceof UnsupportedFormatException why) {
                loop.execute(() -> owner.unusable(why));
            } else {
                // Whatever could not be written was confirmed to nobody.
                LOG.warn("log.stopped_failing why=\"{}\"", e.getCause().getMessage());
            }
            return false;
        }
    }

    private void recover() throws StorageException {
        RecoveredLog found = log.open();
        for (String file : found.unreadable()) {
            LOG.warn("log.unreadable file=\"{}\" older_used={}", file, found.state() != null);
        }
        worksAgain();
        loop.execute(() -> owner.recovered(found));
    }

    private void writeNext() throws StorageException {
        if (mustRewrite || log.isFull()) {
            rewrite();
        } else {
            write(backlog.takeBeyond(0));
        }
    }

    private void failed(Throwable why) {
        if (!isFailing) {
            LOG.warn("log.failing why=\"{}\"", why.getMessage());
        }
        isFailing = true;
        mustRewrite = true;
    }

    private void worksAgain() {
        if (isFailing) {
            LOG.info("log.recovered");
        }
        isFailing = false;
    }

    private void write(List<LogWrite> changes) throws StorageException {
        if (!changes.isEmpty()) {
            log.save(changes);
            persisted(changes.get(changes.size() - 1).ticket());
        }
    }

    /** The newest content holds whatever waits, up to its ticket. */
    private void rewrite() throws StorageException {
        CompletableFuture<LogWrite> content = new CompletableFuture<>();
        loop.execute(() -> content.complete(owner.fullState()));
        LogWrite all;
        try {
            all = content.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new StorageException("no content to write", e);
        }
        List<LogWrite> later = backlog.takeBeyond(all.ticket());
        log.rewrite(all);
        worksAgain();
        mustRewrite = false;
        persisted(all.ticket());
        write(later);
    }

    private void persisted(long ticket) {
        loop.execute(() -> owner.persisted(ticket));
    }
}
