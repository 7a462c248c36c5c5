package gingerspool.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.slf4j.LoggerFactory;

/**
 * Non-blocking standard error for processes whose event loop must not wait for the reader of the
 * log. Each write is added to a bounded buffer, or dropped and counted if it does not fit; one
 * daemon thread writes the buffer to the descriptor. No lock is held during a write to the
 * descriptor.
 *
 * <p>Thread: any. A write of a whole line is buffered or dropped as a whole.
 */
public final class AsynchronousLogOutput extends OutputStream {
    /** The maximum number of bytes buffered while writes to the descriptor block. */
    static final int CAPACITY_BYTES = 256 * 1024;

    /** The part of the capacity reserved for the log line that reports dropped lines. */
    static final int NOTICE_BYTES = 1024;

    /**
     * The maximum number of bytes per write: PIPE_BUF, up to which a pipe never interleaves a write
     * with those of other processes.
     */
    static final int WRITE_BYTES = 4096;

    /** The maximum time that the shutdown of the process waits for buffered bytes. */
    static final long SHUTDOWN_TIMEOUT_MS = 200;

    private static final int STACK_BYTES = 128 * 1024;

    /** The output installed in this process; null if it writes to standard error directly. */
    private static volatile AsynchronousLogOutput installed;

    private final OutputStream descriptor;
    private final LongConsumer onDropped;

    /** Also the lock that guards all fields below. */
    private final LogBuffer buffer = new LogBuffer();

    private final Thread writer =
            new Thread(null, this::writeForever, "log-output", STACK_BYTES, false);

    /** Lines dropped since the last report. */
    private long dropped;

    private boolean writerIsIdle;
    private boolean isWriting;
    private long writingSinceNanos;

    /**
     * Creates an output whose thread is not started yet.
     *
     * @param onDropped receives the number of dropped lines on the writer thread, and may log it
     */
    AsynchronousLogOutput(OutputStream descriptor, LongConsumer onDropped) {
        this.descriptor = descriptor;
        this.onDropped = onDropped;
        writer.setDaemon(true);
    }

    /**
     * Creates the output for standard error, starts its thread and registers a shutdown hook that
     * waits for buffered bytes.
     */
    public static OutputStream install() {
        AsynchronousLogOutput output =
                new AsynchronousLogOutput(
                        new FileOutputStream(FileDescriptor.err),
                        AsynchronousLogOutput::logDropped);
        output.start();
        installed = output;
        Runtime.getRuntime()
                .addShutdownHook(new Thread(AsynchronousLogOutput::awaitInstalled, "log-end"));
        return output;
    }

    /**
     * Waits for a bounded time until everything logged is written. Shutdown hooks run concurrently,
     * so a hook that logs must call this last.
     */
    public static void awaitInstalled() {
        AsynchronousLogOutput output = installed;
        if (output != null) {
            output.awaitWritten();
        }
    }

    /** Looks up the logger late: the log format is chosen after this output is created. */
    private static void logDropped(long lines) {
        LoggerFactory.getLogger(AsynchronousLogOutput.class)
                .atWarn()
                .addKeyValue("n", lines)
                .log("log.lines_dropped");
    }

    void start() {
        writer.start();
    }

    @Override
    public void write(int octet) {
        write(new byte[] {(byte) octet}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
        synchronized (buffer) {
            boolean isNotice = Thread.currentThread() == writer;
            int limit = isNotice ? CAPACITY_BYTES : CAPACITY_BYTES - NOTICE_BYTES;
            if (!buffer.add(bytes, offset, length, limit)) {
                dropped++;
            } else if (writerIsIdle) {
                writerIsIdle = false;
                buffer.notifyAll();
            }
        }
    }

    /**
     * Waits until everything is written, at most {@link #SHUTDOWN_TIMEOUT_MS}. Does not wait for a
     * write that has already been blocked for that long.
     */
    void awaitWritten() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_TIMEOUT_MS);
        synchronized (buffer) {
            try {
                long remainingNanos = remainingWaitNanos(deadlineNanos);
                while ((isWriting || !buffer.isEmpty()) && remainingNanos > 0) {
                    TimeUnit.NANOSECONDS.timedWait(buffer, remainingNanos);
                    remainingNanos = remainingWaitNanos(deadlineNanos);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private long remainingWaitNanos(long deadlineNanos) {
        long now = System.nanoTime();
        long remaining = deadlineNanos - now;
        if (!isWriting) {
            return remaining;
        }
        long allowed = TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_TIMEOUT_MS);
        return Math.min(remaining, writingSinceNanos + allowed - now);
    }

    private void writeForever() {
        byte[] chunk = new byte[WRITE_BYTES];
        try {
            while (true) {
                int length = takeNext(chunk);
                boolean isWritten = tryWrite(chunk, length);
                long reportable = finishWrite(chunk, length, isWritten);
                if (reportable > 0) {
                    onDropped.accept(reportable);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int takeNext(byte[] chunk) throws InterruptedException {
        synchronized (buffer) {
            while (buffer.isEmpty()) {
                writerIsIdle = true;
                buffer.wait();
            }
            writerIsIdle = false;
            isWriting = true;
            writingSinceNanos = System.nanoTime();
            return buffer.take(chunk);
        }
    }

    /** The only call that may block on the descriptor. Returns whether the write succeeded. */
    private boolean tryWrite(byte[] chunk, int length) {
        try {
            descriptor.write(chunk, 0, length);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the number of dropped lines to report now; 0 while no report would fit. */
    private long finishWrite(byte[] chunk, int length, boolean isWritten) {
        synchronized (buffer) {
            isWriting = false;
            if (buffer.isEmpty()) {
                buffer.notifyAll();
            }
            if (!isWritten) {
                // Reported only once a write succeeds: until then the report would fail as well.
                dropped += lineEnds(chunk, length);
                return 0;
            }
            if (buffer.size() > CAPACITY_BYTES - NOTICE_BYTES) {
                return 0;
            }
            long reportable = dropped;
            dropped = 0;
            return reportable;
        }
    }

    private static int lineEnds(byte[] chunk, int length) {
        int count = 0;
        for (int i = 0; i < length; i++) {
            if (chunk[i] == '\n') {
                count++;
            }
        }
        return count;
    }
}
