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
 * A layer of H2's own files that records every write, cut, sync and removal, so that the disk can
 * be laid out anew as a loss of power at any moment would have left it: what was synced is there,
 * of what came after it each write is present, absent or torn, and each name that was made or
 * removed without a sync of the folder is kept or lost by itself. It can be full, and fail its
 * syncs.
 */
public final class ModelDisk extends FilePathWrapper {
    static final String SCHEME = "model:";

    /** Every write is refused. */
    static volatile boolean full;

    /** So many of the next syncs fail, and make nothing durable. */
    static volatile int failingSyncs;

    /** So many of the next reads fail. */
    static volatile int failingReads;

    private static final List<Step> STEPS = new ArrayList<>();

    private enum Kind {
        WRITE,
        LENGTH,
        SYNC,
        REMOVE,
        SYNC_FOLDER
    }

    /** One call of the disk. */
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

    /** The log's folder on this disk. */
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
     * The names that a loss of power after so many steps keeps or loses each by itself: made and
     * not synced, or removed without a sync of the folder after it.
     */
    static List<String> uncertainNames(int steps) {
        Set<String> made = new LinkedHashSet<>();
        Set<String> removed = new LinkedHashSet<>();
        for (Step s : STEPS.subList(0, steps)) {
            switch (s.kind) {
                case WRITE -> made.add(s.file);
                case REMOVE -> removed.add(s.file);
                case SYNC_FOLDER -> removed.clear();
                default -> {}
            }
        }
        Set<String> all = new LinkedHashSet<>(removed);
        made.stream()
                .filter(f -> !isDurable(f, steps) && !isDurablyRemoved(f, steps))
                .forEach(all::add);
        return List.copyOf(all);
    }

    private static boolean isDurable(String file, int steps) {
        boolean exists = false;
        for (Step s : STEPS.subList(0, steps)) {
            exists |= s.kind == Kind.WRITE && s.file.equals(file);
            if (exists && (s.kind == Kind.SYNC_FOLDER || s.equals(Step.of(Kind.SYNC, file)))) {
                return true;
            }
        }
        return false;
    }

    /** Whether it was removed, and the folder synced after that. */
    private static boolean isDurablyRemoved(String file, int steps) {
        List<Step> played = STEPS.subList(0, steps);
        int removedAt = played.lastIndexOf(Step.of(Kind.REMOVE, file));
        return removedAt >= 0 && played.lastIndexOf(Step.of(Kind.SYNC_FOLDER, "")) > removedAt;
    }

    /**
     * Lays the files out as a loss of power after so many steps leaves them: what was not synced by
     * chance, or all gone; of the undecided names those of the mask are kept.
     */
    static void writeFilesAfterPowerLoss(Path folder, int steps, SplittableRandom chance, int kept)
            throws IOException {
        boolean all = chance.nextInt(4) == 0;
        Map<String, Integer> syncedUpTo = new HashMap<>();
        for (int i = 0; i < steps; i++) {
            if (STEPS.get(i).kind == Kind.SYNC) {
                syncedUpTo.put(STEPS.get(i).file, i);
            }
        }
        Map<String, byte[]> files = new HashMap<>();
        for (int i = 0; i < steps; i++) {
            Step s = STEPS.get(i);
            boolean synced = i <= syncedUpTo.getOrDefault(s.file, -1);
            int fate = synced ? 0 : all ? 1 : chance.nextInt(3);
            if ((s.kind == Kind.WRITE || s.kind == Kind.LENGTH) && fate != 1) {
                int torn = fate == 0 || s.bytes == null ? -1 : chance.nextInt(s.bytes.length + 1);
                files.put(s.file, applyStep(files.getOrDefault(s.file, new byte[0]), s, torn));
            }
        }
        List<String> undecided = uncertainNames(steps);
        for (Map.Entry<String, byte[]> f : files.entrySet()) {
            int at = undecided.indexOf(f.getKey());
            if (at >= 0 ? (kept & 1 << at) != 0 : !isDurablyRemoved(f.getKey(), steps)) {
                Files.write(folder.resolve(f.getKey()), f.getValue());
            }
        }
    }

    /** The file after this step; torn: only its first bytes, -1 for all. */
    private static byte[] applyStep(byte[] file, Step s, int torn) {
        if (s.kind == Kind.LENGTH) {
            return java.util.Arrays.copyOf(file, (int) s.position);
        }
        int n = torn < 0 ? s.bytes.length : torn;
        byte[] next = java.util.Arrays.copyOf(file, (int) Math.max(file.length, s.position + n));
        System.arraycopy(s.bytes, 0, next, (int) s.position, n);
        return next;
    }

    /** The channel beneath, every change of which is written down. */
    private static final class RecordingChannel extends FileChannel {
        private final FileChannel delegate;
        private final String file;

        RecordingChannel(FileChannel below, String file) {
            this.delegate = below;
            this.file = file;
        }

        @Override
        public int write(ByteBuffer from, long position) throws IOException {
            if (full) {
                throw new IOException("No space left on device");
            }
            byte[] bytes = new byte[from.remaining()];
            from.duplicate().get(bytes);
            int n = delegate.write(from, position);
            STEPS.add(new Step(Kind.WRITE, file, position, java.util.Arrays.copyOf(bytes, n)));
            return n;
        }

        @Override
        public int write(ByteBuffer from) throws IOException {
            long at = delegate.position();
            int n = write(from, at);
            delegate.position(at + n);
            return n;
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
            long n = 0;
            for (int i = offset; i < offset + length; i++) {
                n += write(from[i]);
            }
            return n;
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
