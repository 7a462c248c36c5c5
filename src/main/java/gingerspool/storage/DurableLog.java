package gingerspool.storage;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.PersistedState;
import gingerspool.consensus.Snapshot;
import gingerspool.consensus.VoterSet;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The durable log of a member, stored in MVStore files named `ledger-N.mv`; the readable file with
 * the highest N is the current one. Map `entries` holds the log entries by index. Map `meta` holds
 * `form` (the format), `promise` (member, term and vote) and `base` (the snapshot).
 *
 * <p>Each {@link #save} is one synced commit. Space in a file is never reused, so a power loss
 * during a write cannot damage content that was synced before. A file over its size limit is
 * replaced: the full state is written to the next file and synced, then the older files are
 * deleted, and the deletion is synced before {@link #rewrite} returns. An older file that still
 * exists therefore holds everything that was confirmed, and can replace a newer, unreadable one.
 *
 * <p>Blocks on disk I/O. Not thread-safe: used by the thread of {@link LogWriter} only.
 */
public final class DurableLog implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DurableLog.class);

    /** The format of files written by this version. Files of format 1 can also be read. */
    static final int FORMAT = 2;

    private static final int FORMAT_1 = 1;

    /** A file larger than this fraction of the configured disk size is replaced. */
    private static final double MAX_FILE_DISK_FRACTION = 0.2;

    private static final int BYTES_PER_MB = 1 << 20;

    /** The member, its term and its vote (null if none), stored under `promise`. */
    public record Vote(Member self, long term, Member votedFor) {}

    private final LogFolder folder;

    /** Prefix that selects H2's file system layer; empty for the default one. */
    private final String scheme;

    private final long maxFileBytes;
    private final KryoCodec codec =
            new KryoCodec(
                    List.of(
                            Vote.class,
                            Member.class,
                            LogEntry.class,
                            Snapshot.class,
                            VoterSet.class));
    private MVStore store;
    private MVMap<Long, byte[]> entries;
    private MVMap<String, byte[]> meta;
    private long fileNumber;

    public DurableLog(Path folder, double diskMb) {
        this(new LogFolder(folder), diskMb, "");
    }

    DurableLog(LogFolder folder, double diskMb, String scheme) {
        this.folder = folder;
        this.scheme = scheme;
        maxFileBytes =
                (long) Math.max(BYTES_PER_MB, diskMb * BYTES_PER_MB * MAX_FILE_DISK_FRACTION);
    }

    /**
     * Reads the newest readable file and syncs it, since the process that wrote it may have ended
     * before its own sync. Writes nothing, so that it works on a full disk. {@link #rewrite} must
     * be called before the first {@link #save}: nothing may be appended after a torn write.
     */
    public RecoveredLog open() throws StorageException {
        close();
        try {
            folder.create();
            List<String> unreadable = new ArrayList<>();
            for (Map.Entry<Long, Path> file : folder.files().descendingMap().entrySet()) {
                fileNumber = Math.max(fileNumber, file.getKey());
                // An empty file was created but never written: nothing in it was confirmed.
                if (Files.size(file.getValue()) > 0) {
                    try {
                        PersistedState state = read(file.getValue());
                        folder.syncFile(file.getValue());
                        folder.sync();
                        return new RecoveredLog(state, unreadable);
                    } catch (UnreadableLogException e) {
                        unreadable.add(file.getValue().getFileName() + ": " + e.getMessage());
                    }
                }
            }
            return new RecoveredLog(null, unreadable);
        } catch (IOException e) {
            throw new StorageException("cannot open the log in " + folder, e);
        }
    }

    private PersistedState read(Path file)
            throws IOException, UnreadableLogException, StorageException {
        try (MVStore fileStore = new MVStore.Builder().fileName(scheme + file).readOnly().open()) {
            MVMap<String, byte[]> header = fileStore.openMap("meta");
            KryoCodec fileCodec = codecOf(file, header.get("form"));
            Vote vote = (Vote) fileCodec.read(header.get("promise"));
            Snapshot snapshot = toSnapshot(fileCodec.read(header.get("base")));
            List<LogEntry> following =
                    readEntries(fileCodec, fileStore.openMap("entries"), snapshot.index());
            return new PersistedState(
                    vote.self(), vote.term(), vote.votedFor(), snapshot, following);
        } catch (MVStoreException e) {
            // An I/O error does not mean that the file is unreadable; a truncated file does.
            if (e.getCause() instanceof IOException ioFailure
                    && !(ioFailure instanceof EOFException)) {
                throw ioFailure;
            }
            throw new UnreadableLogException(e.getMessage());
        } catch (MalformedMessageException
                | ClassCastException
                | NullPointerException
                | UnsupportedOperationException e) {
            throw new UnreadableLogException(String.valueOf(e.getMessage()));
        }
    }

    private KryoCodec codecOf(Path file, byte[] format)
            throws UnreadableLogException, UnsupportedFormatException {
        if (format == null || format.length != 1 || format[0] < FORMAT_1) {
            throw new UnreadableLogException("missing or invalid format");
        }
        if (format[0] > FORMAT) {
            throw new UnsupportedFormatException(file, format[0], FORMAT);
        }
        return format[0] == FORMAT_1 ? LogFormat1.codec() : codec;
    }

    private static Snapshot toSnapshot(Object stored) {
        return stored instanceof LogFormat1.SnapshotV1 old ? old.upgraded() : (Snapshot) stored;
    }

    private static LogEntry toEntry(Object stored) {
        return stored instanceof LogFormat1.EntryV1 old ? old.upgraded() : (LogEntry) stored;
    }

    private static List<LogEntry> readEntries(
            KryoCodec fileCodec, MVMap<Long, byte[]> stored, long snapshotIndex)
            throws MalformedMessageException, UnreadableLogException {
        List<LogEntry> contiguous = new ArrayList<>();
        for (byte[] bytes; (bytes = stored.get(snapshotIndex + 1 + contiguous.size())) != null; ) {
            contiguous.add(toEntry(fileCodec.read(bytes)));
        }
        Long lastIndex = stored.lastKey();
        if (lastIndex != null && lastIndex > snapshotIndex + contiguous.size()) {
            throw new UnreadableLogException(
                    "entry "
                            + (snapshotIndex + 1 + contiguous.size())
                            + " is missing, but entry "
                            + lastIndex
                            + " is present");
        }
        return contiguous;
    }

    /** Creates the next file, empty, and opens it for writing. */
    private void createNextFile() {
        close();
        fileNumber++;
        store =
                new MVStore.Builder()
                        .fileName(scheme + folder.file(fileNumber))
                        .autoCommitDisabled()
                        .cacheSize(1)
                        .open();
        store.setReuseSpace(false);
        entries = store.openMap("entries");
        meta = store.openMap("meta");
    }

    /**
     * Writes and syncs the changes in one commit. After an exception the content on disk is
     * unknown, and {@link #rewrite} must be called before the next save.
     */
    public void save(List<LogWrite> writes) throws StorageException {
        try {
            if (store == null || store.isClosed()) {
                throw new IOException("the log is closed");
            }
            writes.forEach(this::put);
            store.commit();
            store.sync();
        } catch (IOException | MVStoreException | IllegalStateException e) {
            // Guards against a sync that fails once and then reports success although data was
            // lost: this file is never written again.
            close();
            throw new StorageException("cannot write the log to " + folder, e);
        }
    }

    /** Whether the file is over its size limit, so that {@link #rewrite} should be called. */
    public boolean isOversized() {
        return store != null && !store.isClosed() && store.getFileStore().size() > maxFileBytes;
    }

    /** Writes the full state to a new file; the older files are durably deleted on return. */
    public void rewrite(LogWrite fullState) throws StorageException {
        boolean isComplete = false;
        try {
            createNextFile();
            put(fullState);
            store.commit();
            store.sync();
            folder.sync();
            isComplete = true;
            removeOlderFiles();
        } catch (IOException | MVStoreException | IllegalStateException e) {
            abandonRewrite(isComplete);
            throw new StorageException("cannot write the log to " + folder, e);
        }
    }

    private void removeOlderFiles() throws IOException {
        var older = folder.files().headMap(fileNumber).values();
        for (Path file : older) {
            folder.delete(file);
        }
        if (!older.isEmpty()) {
            folder.sync();
        }
    }

    /**
     * Deletes the file of a failed rewrite, so that failed attempts do not fill the disk. A
     * complete file is kept, because some of the older files may already be deleted.
     */
    private void abandonRewrite(boolean isComplete) {
        close();
        try {
            if (!isComplete) {
                folder.delete(folder.file(fileNumber));
            }
        } catch (IOException e) {
            LOG.warn(
                    "log.delete_failed file={} why=\"{}\"",
                    folder.file(fileNumber),
                    e.getMessage());
        }
    }

    private void put(LogWrite write) {
        meta.put("form", new byte[] {FORMAT});
        meta.put("promise", codec.write(new Vote(write.self(), write.term(), write.votedFor())));
        if (write.snapshot() != null) {
            meta.put("base", codec.write(write.snapshot()));
            entries.clear();
        }
        Long lastIndex = entries.lastKey();
        for (long index = write.fromIndex(); lastIndex != null && index <= lastIndex; index++) {
            entries.remove(index);
        }
        for (int i = 0; i < write.entries().size(); i++) {
            entries.put(write.fromIndex() + i, codec.write(write.entries().get(i)));
        }
    }

    @Override
    public void close() {
        if (store != null) {
            store.closeImmediately();
            store = null;
        }
    }
}
