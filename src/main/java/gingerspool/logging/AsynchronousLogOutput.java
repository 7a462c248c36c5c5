package gingerspool.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.slf4j.LoggerFactory;

/**
 * Standard error for processes whose event loop must not wait for whoever reads the log. Each write
 * is added to a bounded buffer or dropped and counted; one daemon thread writes the buffer to the
 * descriptor. No lock is held during a write to the descriptor.
 *
 * <p>Thread: any. A write that is a whole line stays whole or is dropped as a whole.
 */
public final class AsynchronousLogOutput extends OutputStream {
    /** What is held at the most while the descriptor takes nothing, in bytes. */
    static final int CAPACITY_BYTES = 256 * 1024;

    /** The part of it that only the line about dropped lines may use. */
    static final int NOTICE_BYTES = 1024;

    /** Bytes per write: what a pipe takes without another process's bytes between (PIPE_BUF). */
    static final int WRITE_BYTES = 4096;

    /** The end of the process waits so long at the most for what is buffered. */
    static final long END_TIMEOUT_MS = 200;

    private static final int STACK_BYTES = 128 * 1024;

    /** What the process writes to; null where it writes to standard error directly. */
    private static volatile AsynchronousLogOutput installed;

    private final OutputStream descriptor;
    private final LongConsumer whenDropped;

    /** Also the lock of all fields below. */
    private final LogBuffer buffer = new LogBuffer();

    private final Thread writer =
            new Thread(null, this::writeForever, "log-output", STACK_BYTES, false);
    private long dropped;
    private boolean writerIsIdle;
    private boolean isWriting;
    private long writingSinceNanos;

    /** The consumer is told on the writing thread how many lines were dropped, and may log it. */
    AsynchronousLogOutput(OutputStream descriptor, LongConsumer whenDropped) {
        this.descriptor = descriptor;
        this.whenDropped = whenDropped;
        writer.setDaemon(true);
    }

    /** Standard error's own, with its thread started; its end is part of the process's. */
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
     * Waits, in a bounded time, until all that was logged is written. Shutdown hooks run beside
     * each other: one that logs calls this last.
     */
    public static void awaitInstalled() {
        AsynchronousLogOutput output = installed;
        if (output != null) {
            output.awaitWritten();
        }
    }

    /** Looks its logger up late: the form of the log is chosen after this output was made. */
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
     * Waits until all is written, at the most {@link #END_TIMEOUT_MS}. A write that has been held
     * up for that long already is not waited for.
     */
    void awaitWritten() {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_TIMEOUT_MS);
        synchronized (buffer) {
            try {
                long leftNanos = untilGivenUp(end);
                while ((isWriting || !buffer.isEmpty()) && leftNanos > 0) {
                    TimeUnit.NANOSECONDS.timedWait(buffer, leftNanos);
                    leftNanos = untilGivenUp(end);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private long untilGivenUp(long endNanos) {
        long now = System.nanoTime();
        long left = endNanos - now;
        if (!isWriting) {
            return left;
        }
        long allowed = TimeUnit.MILLISECONDS.toNanos(END_TIMEOUT_MS);
        return Math.min(left, writingSinceNanos + allowed - now);
    }

    private void writeForever() {
        byte[] chunk = new byte[WRITE_BYTES];
        try {
            while (true) {
                int length = takeNext(chunk);
                boolean isWritten = tryWrite(chunk, length);
                long lost = written(chunk, length, isWritten);
                if (lost > 0) {
                    whenDropped.accept(lost);
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

    /** The one place that may block. */
    private boolean tryWrite(byte[] chunk, int length) {
        try {
            descriptor.write(chunk, 0, length);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns how many dropped lines are to be told of now. */
    private long written(byte[] chunk, int length, boolean isWritten) {
        synchronized (buffer) {
            isWriting = false;
            if (buffer.isEmpty()) {
                buffer.notifyAll();
            }
            if (!isWritten) {
                // Not told of before a write succeeds: the line about it would fail as well.
                dropped += lineEnds(chunk, length);
                return 0;
            }
            if (buffer.size() > CAPACITY_BYTES - NOTICE_BYTES) {
                return 0;
            }
            long lost = dropped;
            dropped = 0;
            return lost;
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
