package gingerspool.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.h2.store.fs.FilePath;
import org.h2.store.fs.FilePathWrapper;

/**
 * A layer of H2's file system that records every write, truncation, sync and deletion, so that the
 * files can be written as a power loss at any step would have left them. Synced content is present;
 * each later write is present, absent or torn; each creation or deletion of a file without a sync
 * of the folder is kept or lost independently. Can simulate a full disk and failing reads and
 * syncs.
 */
public final class ModelDisk extends FilePathWrapper {
    static final String SCHEME = "model:";

    /** Whether every write fails because the disk is full. */
    static volatile boolean full;

    /** The number of next syncs that fail and make nothing durable. */
    static volatile int failingSyncs;

    /** The number of next reads that fail. */
    static volatile int failingReads;

    private static final List<Step> STEPS = new ArrayList<>();

    private enum Kind {
        WRITE,
        LENGTH,
        SYNC,
        REMOVE,
        SYNC_FOLDER
    }

    /** One recorded disk operation; position is the new length in a truncation. */
    private record Step(Kind kind, String file, long position, byte[] bytes) {
        static Step of(Kind kind, String file) {
            return new Step(kind, file, 0, null);
        }
    }

    static void reset() {
        FilePath.register(new ModelDisk());
        full = false;
        failingSyncs = 0;
        failingReads = 0;
        STEPS.clear();
    }

    static int stepCount() {
        return STEPS.size();
    }

    /** The log's folder on this disk; records its syncs and deletions. */
    static LogFolder folder(Path path) {
        return new LogFolder(path) {
            @Override
            void delete(Path file) throws IOException {
                super.delete(file);
                STEPS.add(Step.of(Kind.REMOVE, file.getFileName().toString()));
            }

            @Override
            void syncFile(Path file) throws IOException {
                failSyncIfRequested();
                STEPS.add(Step.of(Kind.SYNC, file.getFileName().toString()));
            }

            @Override
            void sync() throws IOException {
                failSyncIfRequested();
                STEPS.add(Step.of(Kind.SYNC_FOLDER, ""));
            }
        };
    }

    private static void failSyncIfRequested() throws IOException {
        if (failingSyncs > 0) {
            failingSyncs--;
            throw new IOException("Input/output error");
        }
    }

    @Override
    public String getScheme() {
        return "model";
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        return new RecordingChannel(
                super.open(mode), Path.of(getBase().toString()).getFileName().toString());
    }

    /**
     * The files that may or may not exist after a power loss, each independently: those created and
     * not synced, or removed without a later sync of the folder, within this number of steps.
     */
    static List<String> uncertainNames(int steps) {
        Set<String> created = new LinkedHashSet<>();
        Set<String> removed = new LinkedHashSet<>();
        for (Step step : STEPS.subList(0, steps)) {
            switch (step.kind) {
                case WRITE -> created.add(step.file);
                case REMOVE -> removed.add(step.file);
                case SYNC_FOLDER -> removed.clear();
                default -> {}
            }
        }
        Set<String> names = new LinkedHashSet<>(removed);
        created.stream()
                .filter(file -> !isDurable(file, steps) && !isDurablyRemoved(file, steps))
                .forEach(names::add);
        return List.copyOf(names);
    }

    private static boolean isDurable(String file, int steps) {
        boolean exists = false;
        for (Step step : STEPS.subList(0, steps)) {
            exists |= step.kind == Kind.WRITE && step.file.equals(file);
            if (exists
                    && (step.kind == Kind.SYNC_FOLDER || step.equals(Step.of(Kind.SYNC, file)))) {
                return true;
            }
        }
        return false;
    }

    /** Whether the file was removed and the folder was synced afterwards. */
    private static boolean isDurablyRemoved(String file, int steps) {
        List<Step> past = STEPS.subList(0, steps);
        int removedAt = past.lastIndexOf(Step.of(Kind.REMOVE, file));
        return removedAt >= 0 && past.lastIndexOf(Step.of(Kind.SYNC_FOLDER, "")) > removedAt;
    }

    /**
     * Writes the files as a power loss after this number of steps leaves them. Writes that were not
     * synced are kept, lost or torn at random, or all lost.
     *
     * @param keptNames which of the uncertain names exist, as a bit mask
     */
    static void writeFilesAfterPowerLoss(
            Path folder, int steps, SplittableRandom random, int keptNames) throws IOException {
        boolean loseAllUnsynced = random.nextInt(4) == 0;
        Map<String, Integer> syncedUpTo = new HashMap<>();
        for (int i = 0; i < steps; i++) {
            if (STEPS.get(i).kind == Kind.SYNC) {
                syncedUpTo.put(STEPS.get(i).file, i);
            }
        }
        Map<String, byte[]> files = new HashMap<>();
        for (int i = 0; i < steps; i++) {
            Step step = STEPS.get(i);
            boolean isSynced = i <= syncedUpTo.getOrDefault(step.file, -1);
            // 0: present, 1: lost, 2: torn.
            int fate = isSynced ? 0 : loseAllUnsynced ? 1 : random.nextInt(3);
            if ((step.kind == Kind.WRITE || step.kind == Kind.LENGTH) && fate != 1) {
                int tornLength =
                        fate == 0 || step.bytes == null
                                ? -1
                                : random.nextInt(step.bytes.length + 1);
                files.put(
                        step.file,
                        applyStep(files.getOrDefault(step.file, new byte[0]), step, tornLength));
            }
        }
        List<String> uncertain = uncertainNames(steps);
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            int nameIndex = uncertain.indexOf(file.getKey());
            if (nameIndex >= 0
                    ? (keptNames & 1 << nameIndex) != 0
                    : !isDurablyRemoved(file.getKey(), steps)) {
                Files.write(folder.resolve(file.getKey()), file.getValue());
            }
        }
    }

    /** Returns the file after this step; only tornLength bytes are written, or all if -1. */
    private static byte[] applyStep(byte[] file, Step step, int tornLength) {
        if (step.kind == Kind.LENGTH) {
            return java.util.Arrays.copyOf(file, (int) step.position);
        }
        int length = tornLength < 0 ? step.bytes.length : tornLength;
        byte[] result =
                java.util.Arrays.copyOf(file, (int) Math.max(file.length, step.position + length));
        System.arraycopy(step.bytes, 0, result, (int) step.position, length);
        return result;
    }

    /** Records every change and forwards it to the underlying channel. */
    private static final class RecordingChannel extends FileChannel {
        private final FileChannel delegate;
        private final String file;

        RecordingChannel(FileChannel delegate, String file) {
            this.delegate = delegate;
            this.file = file;
        }

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            if (full) {
                throw new IOException("No space left on device");
            }
            byte[] bytes = new byte[from.remaining()];
            from.duplicate().get(bytes);
            int written = delegate.write(from, position);
            STEPS.add(
                    new Step(Kind.WRITE, file, position, java.util.Arrays.copyOf(bytes, written)));
            return written;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            long position = delegate.position();
            int written = write(from, position);
            delegate.position(position + written);
            return written;
        }

        @Override
        public FileChannel truncate(long size) throws IOException {
            if (size < delegate.size()) {
                STEPS.add(new Step(Kind.LENGTH, file, size, null));
            }
            delegate.truncate(size);
            return this;
        }

        @Override
        public void force(boolean metaData) throws IOException {
            failSyncIfRequested();
            delegate.force(metaData);
            STEPS.add(Step.of(Kind.SYNC, file));
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            return delegate.read(to);
        }

        @Override
        public int read(ByteBuffer to, long position) throws IOException {
            if (failingReads > 0) {
                failingReads--;
                throw new IOException("Input/output error");
            }
            return delegate.read(to, position);
        }

        @Override
        public long read(ByteBuffer[] to, int offset, int length) throws IOException {
            return delegate.read(to, offset, length);
        }

        @Override
        public long write(ByteBuffer[] from, int offset, int length) throws IOException {
            long written = 0;
            for (int i = offset; i < offset + length; i++) {
                written += write(from[i]);
            }
            return written;
        }

        @Override
        public long position() throws IOException {
            return delegate.position();
        }

        @Override
        public FileChannel position(long newPosition) throws IOException {
            delegate.position(newPosition);
            return this;
        }

        @Override
        public long size() throws IOException {
            return delegate.size();
        }

        @Override
        public long transferTo(long position, long count, WritableByteChannel to)
                throws IOException {
            return delegate.transferTo(position, count, to);
        }

        @Override
        public long transferFrom(ReadableByteChannel from, long position, long count) {
            throw new UnsupportedOperationException();
        }

        @Override
        public MappedByteBuffer map(MapMode mode, long position, long size) {
            throw new UnsupportedOperationException();
        }

        @Override
        public FileLock lock(long position, long size, boolean shared) throws IOException {
            return delegate.lock(position, size, shared);
        }

        @Override
        public FileLock tryLock(long position, long size, boolean shared) throws IOException {
            return delegate.tryLock(position, size, shared);
        }

        @Override
        protected void implCloseChannel() throws IOException {
            delegate.close();
        }
    }
}
