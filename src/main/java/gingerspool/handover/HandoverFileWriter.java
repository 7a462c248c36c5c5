package gingerspool.handover;

import gingerspool.wire.Address;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the file by which the next process finds this one.
 *
 * <p>Thread: the event loop; the file itself is written by the thread of files.
 */
final class HandoverFileWriter {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverFileWriter.class);

    private final Path file;
    private final String ownAddress;
    private final String token;
    private final Executor fileExecutor;
    private final Executor loopExecutor;
    private final HandoverOwner owner;

    /** Announcements that are on their way to the disk. */
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
     * Guards against a next process that reads the file of the one before: while ours is on its way
     * to the disk, it would find nobody there and serve beside us. Nobody is told to start it until
     * then.
     */
    void announce() {
        pendingAnnouncements++;
        write(() -> pendingAnnouncements--);
    }

    /** Whether the next process finds this one, or can't since the file could not be written. */
    boolean isAnnounced() {
        return pendingAnnouncements == 0;
    }

    /** Writes beside the loop; what can't be written is logged, and holds nothing up. */
    void write(Runnable onWritten) {
        HandoverFile content =
                new HandoverFile(ownAddress, token, owner.suspended(), owner.isDrained());
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
