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
 * The member's durable log: one MVStore file, `ledger-N.mv`, of which the highest N that can be
 * read counts. Map `entries`: log index to entry. Map `meta`: `form`, `promise` (member, term,
 * vote) and `base` (the snapshot). A change is one commit, synced. Space in a file is never used
 * again, so what was synced stays whatever a loss of power tears. Once a file has grown, the whole
 * content goes to the next one, which is synced; then the older ones are removed, and their removal
 * is synced before the rewrite counts as done. So an older file that is still there holds all that
 * was confirmed, and may take the place of a newer one that can't be read. Blocks; for one thread.
 */
public final class DurableLog implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DurableLog.class);

    /** The format of what is written here; of older ones format 1 is read. */
    static final int FORMAT = 2;

    private static final int FORMAT_1 = 1;

    /** A file that is larger than this part of the disk is replaced. */
    private static final double MAX_FILE_DISK_FRACTION = 0.2;

    private static final int BYTES_PER_MB = 1 << 20;

    /** What stands under `promise`. */
    public record Vote(Member self, long term, Member votedFor) {}

    private final LogFolder folder;

    /** What comes before a file's name for H2's file layer: "" for the disk itself. */
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
     * Finds the newest whole content and makes it durable as it stands, since the process that
     * wrote it may have ended before its sync. Writes nothing, so that it works on a full disk;
     * rewrite() must come before the first save(), as nothing is written behind torn bytes.
     */
    public RecoveredLog open() throws StorageException {
        close();
        try {
            folder.create();
            List<String> unreadable = new ArrayList<>();
            for (Map.Entry<Long, Path> file : folder.files().descendingMap().entrySet()) {
                fileNumber = Math.max(fileNumber, file.getKey());
                // A file that was made and never written holds nothing that was confirmed.
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
            throw new StorageException("can't open the log in " + folder, e);
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
            // A disk in trouble says nothing of the file; one that ends too early does.
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
            throw new UnreadableLogException("no format");
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
                            + " is missing, "
                            + lastIndex
                            + " not");
        }
        return contiguous;
    }

    /** The next file, empty. */
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
     * Writes the changes with a sync. On an exception what the disk holds is unknown: rewrite()
     * must follow.
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
            // Guards against a sync that failed once and then says that all is well: this file is
            // never written again.
            close();
            throw new StorageException("can't write to " + folder, e);
        }
    }

    /** Whether the file has grown so that the whole content should go to a new one. */
    public boolean isOversized() {
        return store != null && !store.isClosed() && store.getFileStore().size() > maxFileBytes;
    }

    /** Writes all content to a new file; older ones are gone for good when this returns. */
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
            throw new StorageException("can't write to " + folder, e);
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
     * Guards a full disk against what failed attempts leave. A file that is whole stays: of the
     * older ones some may be gone already.
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
        for (long index = write.from(); lastIndex != null && index <= lastIndex; index++) {
            entries.remove(index);
        }
        for (int i = 0; i < write.entries().size(); i++) {
            entries.put(write.from() + i, codec.write(write.entries().get(i)));
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
