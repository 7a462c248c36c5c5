package gingerspool.logging;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;

/** A descriptor whose writes block until the test allows them, and fail if the test says so. */
final class ModelDescriptor extends OutputStream {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final Semaphore begun = new Semaphore(0);
    private final Semaphore allowed = new Semaphore(0);
    private int writes;
    private volatile boolean fails;

    @Override
    public void write(int octet) throws IOException {
        write(new byte[] {(byte) octet}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
        begun.release();
        allowed.acquireUninterruptibly();
        if (fails) {
            throw new IOException("no space left");
        }
        synchronized (this) {
            writes++;
            written.write(bytes, offset, length);
        }
    }

    /** Waits until another write has begun. */
    void awaitWrite() throws InterruptedException {
        begun.acquire();
    }

    /** Unblocks this many writes. */
    void allow(int count) {
        allowed.release(count);
    }

    /** Unblocks all writes, including future ones. */
    void unblock() {
        allowed.release(Integer.MAX_VALUE / 2);
    }

    void fail(boolean nextWritesFail) {
        fails = nextWritesFail;
    }

    synchronized int writes() {
        return writes;
    }

    synchronized String text() {
        return written.toString(StandardCharsets.US_ASCII);
    }
}
