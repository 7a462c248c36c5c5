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
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Who the log is kept for; all calls come on the loop. */
    public interface Owner {
        /** What the disk held; from now on changes may be saved. */
        void recovered(RecoveredLog recovered);

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
    private final WriteQueue pendingWrites = new WriteQueue();
    private final Thread thread = new Thread(this::run, "log");
    private volatile boolean isStopped;
    private volatile boolean isFailing;

    /** What the newest file holds is unknown, or there may be torn bytes behind it. */
    private boolean needsRewrite = true;

    /** A disk that fails is tried for as long as it takes. */
    private final RetryPolicy<Object> retryPolicy =
            RetryPolicy.builder()
                    .handle(StorageException.class)
                    .abortOn(UnsupportedFormatException.class)
                    .withMaxRetries(-1)
                    .withDelay(RETRY_DELAY)
                    .abortIf((result, failure) -> isStopped)
                    .onFailedAttempt(attempt -> recordFailure(attempt.getLastException()))
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
    public void save(LogWrite write) {
        pendingWrites.add(write);
        LockSupport.unpark(thread);
    }

    /** Whether the last attempt to read or write failed. */
    public boolean isFailing() {
        return isFailing;
    }

    public void end() {
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

    /** False where it ended first, or the log can't be used. */
    private boolean runWithRetries(CheckedRunnable action) {
        try {
            Failsafe.with(retryPolicy).run(action);
            return true;
        } catch (FailsafeException e) {
            if (e.getCause() instanceof UnsupportedFormatException unsupported) {
                loop.execute(() -> owner.unusable(unsupported));
            } else {
                // Whatever could not be written was confirmed to nobody.
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

    /** The newest content holds whatever waits, up to its ticket. */
    private void rewrite() throws StorageException {
        CompletableFuture<LogWrite> stateFromLoop = new CompletableFuture<>();
        loop.execute(() -> stateFromLoop.complete(owner.fullState()));
        LogWrite fullState;
        try {
            fullState = stateFromLoop.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new StorageException("no content to write", e);
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
