package gingerspool.experiment;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps the disk busy: a few threads write files in a folder and wait for each part to be stored.
 * The files are bounded, as is all that is written, and are removed at the end.
 *
 * <p>Thread: any; a run blocks its caller.
 */
final class DiskLoad {
    private static final int WRITERS = 4;
    private static final int PART_BYTES = 1 << 20;

    /** Each writer goes round in a file of so many parts. */
    private static final int PARTS_OF_A_FILE = 16;

    /** What all writers of one run write, at the most. */
    private static final long MOST_BYTES = 1L << 30;

    private final Path folder;

    DiskLoad(Path folder) {
        this.folder = folder;
    }

    /** Writes for so long, or until the most has been written; tells how many bytes that were. */
    long run(long forMs) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + forMs * 1_000_000;
        AtomicLong written = new AtomicLong();
        List<Path> files = new ArrayList<>();
        List<Thread> writers = new ArrayList<>();
        try {
            for (int i = 0; i < WRITERS; i++) {
                Path file = Files.createTempFile(folder, "disk-load", ".tmp");
                files.add(file);
                Thread writer = new Thread(() -> write(file, untilNanos, written), "disk-load");
                writer.setDaemon(true);
                writers.add(writer);
            }
            writers.forEach(Thread::start);
            for (Thread writer : writers) {
                writer.join();
            }
        } finally {
            writers.forEach(Thread::interrupt);
            for (Path file : files) {
                Files.deleteIfExists(file);
            }
        }
        return written.get();
    }

    /** Ends early where the disk is full or the thread is interrupted: less load is no fault. */
    private static void write(Path file, long untilNanos, AtomicLong written) {
        ByteBuffer part = ByteBuffer.allocateDirect(PART_BYTES);
        try (FileChannel to = FileChannel.open(file, StandardOpenOption.WRITE)) {
            // However late its thread began, each writer writes once.
            for (long i = 0; i == 0 || System.nanoTime() < untilNanos; i++) {
                if (written.addAndGet(PART_BYTES) > MOST_BYTES) {
                    written.addAndGet(-PART_BYTES);
                    return;
                }
                part.clear();
                long at = i % PARTS_OF_A_FILE * PART_BYTES;
                while (part.hasRemaining()) {
                    at += to.write(part, at);
                }
                to.force(true);
            }
        } catch (IOException e) {
            return;
        }
    }
}
