package gingerspool.storage;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.PersistedState;
import gingerspool.consensus.Snapshot;
import gingerspool.consensus.VoterSet;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * The member's store on disk: one MVStore file, `ledger-N.mv`, of which the highest N that can be
 * read counts. Map `entries`: place to entry. Map `meta`: `form`, `promise` (member, view, granted)
 * and `base`. A change is one commit, synced. Space in a file is never used again, so what was
 * synced stays whatever a cut tears; once a file has grown, the whole content goes to the next one,
 * which is synced before the older is removed. Blocks; for one thread.
 */
public final class DurableLog implements AutoCloseable {
    /** The form of what is written here; of others only form 1 is read. */
    static final int FORM = 2;

    private static final int FORM_1 = 1;

    private static final String PREFIX = "ledger-";
    private static final String SUFFIX = ".mv";

    /** A file that is larger than this part of the disk is replaced. */
    private static final double FULL = 0.2;

    private static final int MB = 1 << 20;

    /** What stands under `promise`. */
    public record Vote(Member self, long term, Member votedFor) {}

    private final Path folder;

    /** What comes before a file's name for H2's file layer: "" for the disk itself. */
    private final String scheme;

    private final long fileMost;
    private final KryoCodec coder =
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
    private long number;

    public DurableLog(Path folder, double diskMb) {
        this(folder, diskMb, "");
    }

    DurableLog(Path folder, double diskMb, String scheme) {
        this.folder = folder;
        this.scheme = scheme;
        fileMost = (long) Math.max(MB, diskMb * MB * FULL);
    }

    /**
     * Opens the newest content, or begins with none; null where there is none, or none that can be
     * read.
     */
    public PersistedState open() throws StorageException {
        try {
            Files.createDirectories(folder);
            TreeMap<Long, Path> files = files();
            number = files.isEmpty() ? 0 : files.lastKey();
            for (Path file : files.descendingMap().values()) {
                PersistedState found = read(file);
                if (found != null) {
                    // What was found goes on in a file of its own: nothing is written behind torn
                    // bytes.
                    rewrite(whole(found));
                    return found;
                }
            }
            begin();
            return null;
        } catch (IOException | MVStoreException e) {
            throw new StorageException("can't open the ledger in " + folder, e);
        }
    }

    private static LogWrite whole(PersistedState found) {
        return new LogWrite(
                0,
                found.self(),
                found.term(),
                found.votedFor(),
                found.snapshot().index() + 1,
                found.entries(),
                found.snapshot());
    }

    private TreeMap<Long, Path> files() throws IOException {
        TreeMap<Long, Path> files = new TreeMap<>();
        try (Stream<Path> all = Files.list(folder)) {
            for (Path p : all.toList()) {
                String n = p.getFileName().toString();
                if (n.startsWith(PREFIX) && n.endsWith(SUFFIX)) {
                    String digits = n.substring(PREFIX.length(), n.length() - SUFFIX.length());
                    if (digits.matches("[0-9]{1,15}")) {
                        files.put(Long.parseLong(digits), p);
                    }
                }
            }
        }
        return files;
    }

    /** Null where the file holds no whole content. */
    private PersistedState read(Path file) {
        try (MVStore from = new MVStore.Builder().fileName(scheme + file).readOnly().open()) {
            MVMap<String, byte[]> m = from.openMap("meta");
            byte[] form = m.get("form");
            if (form == null || form.length != 1 || form[0] != FORM && form[0] != FORM_1) {
                return null;
            }
            KryoCodec codec = form[0] == FORM_1 ? LogForm1.codec() : coder;
            Vote p = (Vote) codec.read(m.get("promise"));
            Snapshot snapshot = snapshot(codec.read(m.get("base")));
            List<LogEntry> all = new ArrayList<>();
            MVMap<Long, byte[]> places = from.openMap("entries");
            for (byte[] e; (e = places.get(snapshot.index() + 1 + all.size())) != null; ) {
                all.add(entry(codec.read(e)));
            }
            return new PersistedState(p.self(), p.term(), p.votedFor(), snapshot, all);
        } catch (MVStoreException
                | MalformedMessageException
                | ClassCastException
                | NullPointerException e) {
            return null;
        }
    }

    private static Snapshot snapshot(Object read) {
        return read instanceof LogForm1.State old ? old.upgraded() : (Snapshot) read;
    }

    private static LogEntry entry(Object read) {
        return read instanceof LogForm1.Entry old ? old.upgraded() : (LogEntry) read;
    }

    private void begin() throws IOException {
        close();
        number++;
        Path file = folder.resolve(PREFIX + number + SUFFIX);
        Files.deleteIfExists(file);
        store =
                new MVStore.Builder()
                        .fileName(scheme + file)
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
    public void save(List<LogWrite> changes) throws StorageException {
        try {
            if (store == null || store.isClosed()) {
                throw new IOException("the ledger is closed");
            }
            changes.forEach(this::put);
            store.commit();
            store.sync();
        } catch (IOException | MVStoreException | IllegalStateException e) {
            throw new StorageException("can't write to " + folder, e);
        }
    }

    /** Whether the file has grown so that the whole content should go to a new one. */
    public boolean isFull() {
        return store != null && !store.isClosed() && store.getFileStore().size() > fileMost;
    }

    /** Writes all content to a new file; older ones go once it is on disk. */
    public void rewrite(LogWrite whole) throws StorageException {
        try {
            begin();
            meta.put("form", new byte[] {FORM});
            put(whole);
            store.commit();
            store.sync();
            syncFolder();
            for (var f : files().headMap(number).values()) {
                Files.deleteIfExists(f);
            }
        } catch (IOException | MVStoreException | IllegalStateException e) {
            throw new StorageException("can't write to " + folder, e);
        }
    }

    private void put(LogWrite c) {
        meta.put("form", new byte[] {FORM});
        meta.put("promise", coder.write(new Vote(c.self(), c.term(), c.votedFor())));
        if (c.snapshot() != null) {
            meta.put("base", coder.write(c.snapshot()));
            entries.clear();
        }
        Long last = entries.lastKey();
        for (long place = c.from(); last != null && place <= last; place++) {
            entries.remove(place);
        }
        for (int i = 0; i < c.entries().size(); i++) {
            entries.put(c.from() + i, coder.write(c.entries().get(i)));
        }
    }

    private void syncFolder() throws IOException {
        try (FileChannel dir = FileChannel.open(folder, StandardOpenOption.READ)) {
            dir.force(true);
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
