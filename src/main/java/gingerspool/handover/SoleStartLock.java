package gingerspool.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which process may serve alone if several find no predecessor: a lock on a file beside the
 * hand-over file, held until the hand-over file names its holder. The operating system releases it
 * when the process ends, however it ends.
 *
 * <p>Thread: the file executor's; each method makes a few blocking system calls. Used by {@link
 * PredecessorSearch}.
 */
final class SoleStartLock {
    private static final Logger LOG = LoggerFactory.getLogger(SoleStartLock.class);
    private static final String SUFFIX = ".lock";

    private final Path file;

    /** Null while this process does not hold the lock. */
    private FileChannel channel;

    SoleStartLock(Path handoverFile) {
        file = handoverFile.resolveSibling(handoverFile.getFileName() + SUFFIX);
    }

    /**
     * Tries to acquire the lock; returns whether this process may serve alone. If the file can't be
     * locked at all, no process can be kept out, and each may go on.
     */
    boolean tryAcquire() {
        if (channel != null) {
            return true;
        }
        try {
            FileChannel opened =
                    FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (tryLock(opened)) {
                channel = opened;
                return true;
            }
            opened.close();
            return false;
        } catch (IOException e) {
            logFailure(e);
            return true;
        }
    }

    private static boolean tryLock(FileChannel opened) throws IOException {
        try {
            return opened.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // Another lock object of the same virtual machine holds it.
            return false;
        }
    }

    /** Lets another process acquire the lock. */
    void release() {
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            logFailure(e);
        }
        channel = null;
    }

    private void logFailure(IOException error) {
        LOG.atWarn()
                .addKeyValue("file", file)
                .addKeyValue("why", error.toString())
                .log("handover.lock_failed");
    }
}
