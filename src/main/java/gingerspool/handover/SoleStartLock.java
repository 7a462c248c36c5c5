package gingerspool.handover;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which process may serve alone where several find nobody to take over from: a lock on a
 * file beside the hand-over file, held until that file names its holder. The system releases it
 * with its process, however that ends.
 *
 * <p>Thread: the one that writes files; each call takes a few system calls.
 */
final class SoleStartLock {
    private static final Logger LOG = LoggerFactory.getLogger(SoleStartLock.class);
    private static final String SUFFIX = ".lock";

    private final Path file;

    /** Null while nothing is locked. */
    private FileChannel channel;

    SoleStartLock(Path handoverFile) {
        file = handoverFile.resolveSibling(handoverFile.getFileName() + SUFFIX);
    }

    /**
     * Whether this process holds the lock now. Where the file can't be locked at all nobody can be
     * kept out, and each process may go on.
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
            // Another one of this very virtual machine has it.
            return false;
        }
    }

    /** Lets the next process go on. */
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
