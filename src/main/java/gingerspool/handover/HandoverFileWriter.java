package gingerspool.handover;

import gingerspool.wire.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the hand-over file, by which the next process finds this one. Used by {@link Handover}
 * when this process starts to serve and by {@link CommandPropagation} after each command.
 *
 * <p>Thread: the event loop; the file itself is written on the file executor.
 */
final class HandoverFileWriter {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverFileWriter.class);

    private final Path file;
    private final String ownAddress;
    private final String token;
    private final Executor fileExecutor;
    private final Executor loopExecutor;
    private final HandoverOwner owner;

    /** Announcements that are not written yet. */
    private int pendingAnnouncements;

    HandoverFileWriter(
            Path file,
            InetSocketAddress ownSocketAddress,
            String token,
            Executor fileExecutor,
            Executor loopExecutor,
            HandoverOwner owner) {
        this.file = file;
        ownAddress = Address.text(ownSocketAddress);
        this.token = token;
        this.fileExecutor = fileExecutor;
        this.loopExecutor = loopExecutor;
        this.owner = owner;
    }

    /**
     * Writes the file that names this process. Guards against a next process that still reads the
     * predecessor's file, finds no process at that address and serves beside this one: until the
     * write has ended, this process does not report ready, so operators don't start the next one.
     */
    void announce() {
        pendingAnnouncements++;
        write(() -> pendingAnnouncements--);
    }

    /** Whether no announcement is being written; one that failed counts as written. */
    boolean isAnnounced() {
        return pendingAnnouncements == 0;
    }

    /**
     * Writes the present suspensions on the file executor, then runs `onWritten` on the loop. A
     * failure is only logged; `onWritten` runs all the same.
     */
    void write(Runnable onWritten) {
        HandoverFile content =
                new HandoverFile(ownAddress, token, owner.suspendedWorkers(), owner.isDrained());
        fileExecutor.execute(
                () -> {
                    write(content);
                    loopExecutor.execute(onWritten);
                });
    }

    private void write(HandoverFile content) {
        try {
            content.write(file);
        } catch (IOException | RuntimeException e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("why", e.toString())
                    .log("handover.file_write_failed");
        }
    }
}
