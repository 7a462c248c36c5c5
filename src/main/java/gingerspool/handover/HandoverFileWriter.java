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
    private final Executor files;
    private final Executor anyThread;
    private final HandoverOwner owner;

    /** Announcements that are on their way to the disk. */
    private int unannounced;

    HandoverFileWriter(
            Path file,
            InetSocketAddress own,
            String token,
            Executor files,
            Executor anyThread,
            HandoverOwner owner) {
        this.file = file;
        ownAddress = Address.text(own);
        this.token = token;
        this.files = files;
        this.anyThread = anyThread;
        this.owner = owner;
    }

    /**
     * Guards against a next process that reads the file of the one before: while ours is on its way
     * to the disk, it would find nobody there and serve beside us. Nobody is told to start it until
     * then.
     */
    void announce() {
        unannounced++;
        write(() -> unannounced--);
    }

    /** Whether the next process finds this one, or can't since the file could not be written. */
    boolean isAnnounced() {
        return unannounced == 0;
    }

    /** Writes beside the loop; what can't be written is logged, and holds nothing up. */
    void write(Runnable written) {
        HandoverFile content =
                new HandoverFile(ownAddress, token, owner.suspended(), owner.isDrained());
        files.execute(
                () -> {
                    write(content);
                    anyThread.execute(written);
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
