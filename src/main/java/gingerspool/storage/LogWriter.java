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
 * Owns the thread that reads and writes the durable log. The thread first recovers the content of
 * the disk, then writes the changes that the event loop queues, in their order. At the start, when
 * the file is over its size limit and after a disk failure, it requests the full state from the
 * event loop and writes that to a new file, with retries until it succeeds or the writer is
 * stopped.
 */
public final class LogWriter {
    private static final Logger LOG = LoggerFactory.getLogger(LogWriter.class);

    /** The delay before the next attempt after a disk failure. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** The member whose log this is; all methods are called on the event loop. */
    public interface Owner {
        /** The content of the disk was recovered; changes may be saved from now on. */
        void recovered(RecoveredLog recovered);

        /** This version cannot read the log; the writer's thread ends. */
        void unusable(StorageException why);

        /** All changes up to and including this ticket are durable. */
        void persisted(long ticket);

        /** The full state, which covers all changes up to its own ticket. */
        LogWrite fullState();
    }

    private final DurableLog log;
    private final Executor loop;
    private final Owner owner;
    private final WriteQueue pendingWrites = new WriteQueue();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean isStopped;
    private volatile boolean isFailing;

    /** Set if the newest file's content is unknown or may end with a torn write. */
    private boolean needsRewrite = true;

    /** Retries without limit until the writer is stopped. */
    private final RetryPolicy<Object> retryPolicy =
            RetryPolicy.builder()
                    .handle(StorageException.class)
                    .abortOn(UnsupportedFormatException.class)
                    .withMaxRetries(-1)
                    .withDelay(RETRY_DELAY)
                    .abortIf((result, failure) -> isStopped)
                    .onFailedAttempt(attempt -> recordFailure(attempt.getLastException()))
                    .build();

    /** The executor runs the owner's methods on the event loop. Call {@link #start} to begin. */
    public LogWriter(DurableLog log, Executor loop, Owner owner) {
        this.log = log;
        this.loop = loop;
        this.owner = owner;
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** Queues a change; called on the event loop. */
    public void save(LogWrite write) {
        pendingWrites.add(write);
        LockSupport.unpark(thread);
    }

    /** Whether the disk has failed and no read or rewrite has succeeded since; any thread. */
    public boolean isFailing() {
        return isFailing;
    }

    public void stop() {
        isStopped = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        if (runWithRetries(this::recover)) {
            while (!isStopped) {
                if (pendingWrites.isEmpty() && !log.isOversized() && !needsRewrite) {
                    LockSupport.park(this);
                } else {
                    runWithRetries(this::writeNext);
                }
            }
        }
        log.close();
    }

    /** Returns false if the writer was stopped first, or if this version cannot read the log. */
    private boolean runWithRetries(CheckedRunnable action) {
        try {
            Failsafe.with(retryPolicy).run(action);
            return true;
        } catch (FailsafeException e) {
            if (e.getCause() instanceof UnsupportedFormatException unsupported) {
                loop.execute(() -> owner.unusable(unsupported));
            } else {
                // What could not be written was never confirmed.
                LOG.warn("log.stopped_failing why=\"{}\"", e.getCause().getMessage());
            }
            return false;
        }
    }

    private void recover() throws StorageException {
        RecoveredLog recovered = log.open();
        for (String file : recovered.unreadable()) {
            LOG.warn("log.unreadable file=\"{}\" older_used={}", file, recovered.state() != null);
        }
        recordSuccess();
        loop.execute(() -> owner.recovered(recovered));
    }

    private void writeNext() throws StorageException {
        if (needsRewrite || log.isOversized()) {
            rewrite();
        } else {
            write(pendingWrites.drainAfter(0));
        }
    }

    private void recordFailure(Throwable failure) {
        if (!isFailing) {
            LOG.warn("log.failing why=\"{}\"", failure.getMessage());
        }
        isFailing = true;
        needsRewrite = true;
    }

    private void recordSuccess() {
        if (isFailing) {
            LOG.info("log.recovered");
        }
        isFailing = false;
    }

    private void write(List<LogWrite> writes) throws StorageException {
        if (!writes.isEmpty()) {
            log.save(writes);
            notifyPersisted(writes.get(writes.size() - 1).ticket());
        }
    }

    /** Writes the full state, which covers the writes up to its ticket, then the later writes. */
    private void rewrite() throws StorageException {
        CompletableFuture<LogWrite> stateFromLoop = new CompletableFuture<>();
        loop.execute(() -> stateFromLoop.complete(owner.fullState()));
        LogWrite fullState;
        try {
            fullState = stateFromLoop.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new StorageException("did not get the full state to write", e);
        }
        List<LogWrite> laterWrites = pendingWrites.drainAfter(fullState.ticket());
        log.rewrite(fullState);
        recordSuccess();
        needsRewrite = false;
        notifyPersisted(fullState.ticket());
        write(laterWrites);
    }

    private void notifyPersisted(long ticket) {
        loop.execute(() -> owner.persisted(ticket));
    }
}
