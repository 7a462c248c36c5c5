package gingerspool.scenario;

import java.io.Closeable;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Writes the record of a play on a thread of its own, so that a slow disk makes no loop of the tool
 * late. Lines keep their order. None is dropped silently: where too many wait, or one can't be
 * written, the record as a whole has failed, and close() says so.
 *
 * <p>Thread: one caller at a time; flush() and close() wait for the disk.
 */
public final class RecordWriter implements Closeable {
    /** So many lines may wait: minutes of a busy play. */
    private static final int MOST_WAITING = 200_000;

    private static final long CLOSES_WITHIN_S = 60;

    private final Writer out;
    private final String name;
    private final ThreadPoolExecutor writer;

    /** Why the record is not whole, or null. */
    private volatile IOException failure;

    public RecordWriter(Path file) throws IOException {
        this(Files.newBufferedWriter(file), file.toString(), MOST_WAITING);
    }

    /** Keeps so many lines waiting; for tests. */
    RecordWriter(Writer out, String name, int mostWaiting) {
        this.out = out;
        this.name = name;
        writer =
                new ThreadPoolExecutor(
                        1,
                        1,
                        0,
                        TimeUnit.SECONDS,
                        new ArrayBlockingQueue<>(mostWaiting),
                        task -> daemon(Executors.defaultThreadFactory().newThread(task)));
    }

    private static Thread daemon(Thread thread) {
        thread.setName("record");
        thread.setDaemon(true);
        return thread;
    }

    /** Has a line written, made on the writer's thread from parts that must not change. */
    public void write(String form, Object... parts) {
        try {
            writer.execute(() -> writeNow(form, parts));
        } catch (RejectedExecutionException e) {
            fail(new IOException(name + " is not whole: too many lines waited for the disk", e));
        }
    }

    private void writeNow(String form, Object... parts) {
        try {
            out.write(String.format(Locale.ROOT, form, parts));
            out.write('\n');
        } catch (IOException | RuntimeException e) {
            fail(new IOException(name + " can't be written: " + e.getMessage(), e));
        }
    }

    private synchronized void fail(IOException why) {
        failure = failure == null ? why : failure;
    }

    /** Waits until all lines so far are with the system. */
    public void flush() throws IOException {
        try {
            writer.submit(
                            () -> {
                                out.flush();
                                return null;
                            })
                    .get();
        } catch (ExecutionException | RejectedExecutionException e) {
            throw new IOException(name + " can't be written: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(name + " was not waited for", e);
        }
    }

    /** Waits until all is written. Throws where the record is not whole. */
    @Override
    public void close() throws IOException {
        writer.shutdown();
        try {
            if (!writer.awaitTermination(CLOSES_WITHIN_S, TimeUnit.SECONDS)) {
                fail(new IOException(name + " is not whole: the disk took too long"));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            fail(new IOException(name + " was not waited for", e));
        }
        out.close();
        if (failure != null) {
            throw failure;
        }
    }
}
