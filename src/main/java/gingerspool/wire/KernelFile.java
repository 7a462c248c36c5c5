package gingerspool.wire;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * Reads the beginning of a kernel file such as /proc/stat, with its current content each time. The
 * file is opened at the first reading and kept open, so that each later reading is a single system
 * call. A path below /proc/thread-self therefore always refers to the thread that read first. A
 * file that could not be read once is not tried again.
 *
 * <p>Threads: any.
 */
final class KernelFile implements Closeable {
    private static final int MAX_BYTES = 1024;

    private final Path path;
    private final byte[] bytes = new byte[MAX_BYTES];
    private FileChannel channel;
    private boolean isUsable = true;

    KernelFile(String path) {
        this.path = Path.of(path);
    }

    /** The first bytes of the current content; "" if the file can't be read or is closed. */
    synchronized String read() {
        if (!isUsable) {
            return "";
        }
        try {
            if (channel == null) {
                channel = FileChannel.open(path);
            }
            int length = channel.read(ByteBuffer.wrap(bytes), 0);
            return new String(bytes, 0, Math.max(0, length), StandardCharsets.ISO_8859_1);
        } catch (IOException | RuntimeException e) {
            close();
            return "";
        }
    }

    /** Closes the file; later readings return an empty text. */
    @Override
    public synchronized void close() {
        isUsable = false;
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            channel = null; // nothing was written, so nothing is lost
        }
    }
}
