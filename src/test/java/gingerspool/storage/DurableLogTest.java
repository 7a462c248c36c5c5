package gingerspool.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import gingerspool.codec.KryoCodec;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.PersistedState;
import gingerspool.consensus.Snapshot;
import gingerspool.consensus.VoterSet;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.h2.mvstore.MVStore;
import org.testng.annotations.Test;

public class DurableLogTest {
    private static final Member SELF = new Member("10.0.0.1", "m");
    private static final Snapshot EMPTY = new Snapshot(0, 0, List.of(SELF), null);

    private static LogWrite write(
            long ticket, long term, long from, int entries, Snapshot snapshot) {
        List<LogEntry> all = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            all.add(new LogEntry(term, new byte[] {(byte) (from + i)}, null));
        }
        return new LogWrite(ticket, SELF, term, null, from, all, snapshot);
    }

    /** What it holds, which then goes on in a file of its own, as its owner does it. */
    private static PersistedState recoverAndRewrite(DurableLog log) throws Exception {
        PersistedState s = log.open().state();
        log.rewrite(
                s == null
                        ? write(1, 0, 1, 0, EMPTY)
                        : new LogWrite(
                                1,
                                s.self(),
                                s.term(),
                                s.votedFor(),
                                s.snapshot().index() + 1,
                                s.entries(),
                                s.snapshot()));
        return s;
    }

    private static Path newestFile(Path folder) throws IOException {
        try (var all = Files.list(folder)) {
            return all.max(Path::compareTo).orElseThrow();
        }
    }

    private static Path createFolder() throws IOException {
        return Files.createTempDirectory("ledger");
    }

    @Test
    public void holdsVoteEntriesAndSnapshotThroughTruncationAndRewrites() throws Exception {
        Path at = createFolder();
        try (DurableLog ledger = new DurableLog(at, 128)) {
            assertNull(recoverAndRewrite(ledger));
            ledger.save(List.of(write(1, 0, 1, 0, EMPTY)));
            ledger.save(List.of(write(2, 1, 1, 5, null), write(3, 2, 4, 1, null)));
        }
        try (DurableLog ledger = new DurableLog(at, 128)) {
            PersistedState s = recoverAndRewrite(ledger);
            assertEquals(s.entries().size(), 4, "what was trimmed is gone");
            assertEquals(s.entries().get(3).term(), 2);
            assertEquals(s.self(), SELF);
            ledger.rewrite(write(4, 3, 5, 2, new Snapshot(4, 2, List.of(SELF), new byte[] {9})));
        }
        try (DurableLog ledger = new DurableLog(at, 128)) {
            PersistedState s = recoverAndRewrite(ledger);
            assertEquals(s.snapshot().index(), 4);
            assertEquals(s.snapshot().state(), new byte[] {9});
            assertEquals(s.entries().size(), 2);
            assertEquals(s.term(), 3);
        }
    }

    /**
     * A cut of power leaves some of what was written after the last sync, and rubbish: what was
     * synced stays.
     */
    @Test
    public void syncedContentSurvivesTornWrites() throws Exception {
        Path at = createFolder();
        DurableLog ledger = new DurableLog(at, 128);
        recoverAndRewrite(ledger);
        ledger.save(List.of(write(1, 1, 1, 3, EMPTY)));
        byte[] synced = Files.readAllBytes(newestFile(at));
        ledger.save(List.of(write(2, 2, 4, 40, null)));
        byte[] later = Files.readAllBytes(newestFile(at));
        String name = newestFile(at).getFileName().toString();
        ledger.close();
        for (int cut = synced.length; cut <= later.length; cut += 97) {
            Path torn = createFolder();
            try (RandomAccessFile f = new RandomAccessFile(torn.resolve(name).toFile(), "rw")) {
                f.write(synced);
                f.seek(synced.length);
                f.write(later, synced.length, cut - synced.length);
                f.write(new byte[] {1, 2, 3, 4, 5});
            }
            try (DurableLog l = new DurableLog(torn, 128)) {
                PersistedState s = l.open().state();
                assertTrue(s != null && s.entries().size() >= 3, "cut at " + cut);
            }
        }
    }

    @Test
    public void emptyAndUnreadableDisksAreDistinguished() throws Exception {
        Path at = createFolder();
        try (DurableLog log = new DurableLog(at, 128)) {
            assertTrue(log.open().isEmpty());
        }
        Files.write(at.resolve("ledger-6.mv"), new byte[0]);
        try (DurableLog log = new DurableLog(at, 128)) {
            assertTrue(log.open().isEmpty(), "made, and never written");
        }
        Files.write(at.resolve("ledger-7.mv"), new byte[10_000]);
        try (DurableLog log = new DurableLog(at, 128)) {
            RecoveredLog found = log.open();
            assertTrue(found.isLost() && !found.isEmpty());
            assertTrue(found.unreadable().get(0).startsWith("ledger-7.mv: "), found.toString());
            assertNull(recoverAndRewrite(log));
            log.save(List.of(write(2, 1, 1, 1, EMPTY)));
        }
        try (DurableLog log = new DurableLog(at, 128)) {
            assertEquals(log.open().state().entries().size(), 1);
        }
    }

    @Test
    public void fallsBackToTheOlderFileIfTheNewerIsUnfinished() throws Exception {
        Path at = createFolder();
        try (DurableLog log = new DurableLog(at, 128)) {
            recoverAndRewrite(log);
            log.save(List.of(write(2, 1, 1, 3, null)));
        }
        Files.write(at.resolve("ledger-9.mv"), new byte[5000]);
        try (DurableLog log = new DurableLog(at, 128)) {
            RecoveredLog found = log.open();
            assertEquals(found.state().entries().size(), 3);
            assertEquals(found.unreadable().size(), 1);
        }
    }

    @Test
    public void doesNotTakeAFailedReadForAnUnreadableFile() throws Exception {
        ModelDisk.reset();
        Path at = createFolder();
        try (DurableLog log = new DurableLog(ModelDisk.folder(at), 128, ModelDisk.SCHEME)) {
            recoverAndRewrite(log);
            ModelDisk.failingReads = 1;
            assertThrows(StorageException.class, log::open);
            assertNotNull(log.open().state());
        }
    }

    @Test
    public void doesNotChangeAFileOfANewerFormat() throws Exception {
        Path at = createFolder();
        try (MVStore newer = MVStore.open(at.resolve("ledger-4.mv").toString())) {
            newer.openMap("meta").put("form", new byte[] {DurableLog.FORMAT + 1});
        }
        byte[] before = Files.readAllBytes(newestFile(at));
        try (DurableLog log = new DurableLog(at, 128)) {
            UnsupportedFormatException e =
                    expectThrows(UnsupportedFormatException.class, log::open);
            assertTrue(e.getMessage().contains("ledger-4.mv has format 3"), e.getMessage());
        }
        assertEquals(Files.readAllBytes(newestFile(at)), before);
    }

    /**
     * A log's life on a modelled disk, with a full disk and failed syncs in it, then a loss of
     * power at every step of it: what was confirmed is there each time, whichever of the later
     * writes are present, absent or torn, and whichever of the names made or removed meanwhile are
     * kept.
     */
    @Test
    public void writesOnceConfirmedSurviveAPowerLossAtEachStepWithEachSubsetOfNames()
            throws Exception {
        ModelDisk.reset();
        // How many steps of the disk there had been when each change was confirmed.
        List<Integer> confirmed = new ArrayList<>();
        try (DurableLog log =
                new DurableLog(ModelDisk.folder(createFolder()), 128, ModelDisk.SCHEME)) {
            log.open();
            log.rewrite(write(1, 1, 1, 1, EMPTY));
            confirmed.add(ModelDisk.stepCount());
            for (int n = 2; n <= 24; n++) {
                LogWrite one = write(n, n, n, 1, null);
                LogWrite all = write(n, n, 1, n, EMPTY);
                if (n % 8 == 0) {
                    log.rewrite(all);
                } else if (n % 5 == 0) {
                    injectFault(n);
                    assertThrows(StorageException.class, () -> log.save(List.of(one)));
                    if (n % 2 == 0) {
                        assertThrows(StorageException.class, () -> log.rewrite(all));
                    }
                    ModelDisk.full = false;
                    log.rewrite(all);
                } else {
                    log.save(List.of(one));
                }
                confirmed.add(ModelDisk.stepCount());
                // Else an older file could come back and stand for one that is damaged later.
                assertEquals(ModelDisk.uncertainNames(ModelDisk.stepCount()), List.of());
            }
        }
        SplittableRandom chance = new SplittableRandom(5);
        int subsets = 0;
        for (int steps = confirmed.get(0); steps <= ModelDisk.stepCount(); steps++) {
            int names = ModelDisk.uncertainNames(steps).size();
            subsets = Math.max(subsets, 1 << names);
            for (int kept = 0; kept < 1 << names; kept++) {
                checkAfterPowerLoss(confirmed, steps, kept, chance);
            }
        }
        assertTrue(subsets >= 4, "no step with two names undecided: " + subsets);
    }

    private static void injectFault(int n) {
        ModelDisk.full = n % 10 == 0;
        ModelDisk.failingSyncs = ModelDisk.full ? 0 : 1;
    }

    private static void checkAfterPowerLoss(
            List<Integer> confirmed, int steps, int kept, SplittableRandom chance)
            throws Exception {
        int sure = (int) confirmed.stream().filter(s -> s <= steps).count();
        for (int play = 0; play < 6; play++) {
            Path left = createFolder();
            ModelDisk.writeFilesAfterPowerLoss(left, steps, chance, kept);
            try (DurableLog log = new DurableLog(left, 128)) {
                PersistedState s = log.open().state();
                assertTrue(
                        s != null && s.entries().size() >= sure && s.term() >= sure,
                        "after step %d, names %s, %d confirmed, found %s"
                                .formatted(steps, Integer.toBinaryString(kept), sure, s));
            }
        }
    }

    /** What a process wrote and did not sync is made durable before anybody counts on it. */
    @Test
    public void syncsRecoveredContentBeforeReturningIt() throws Exception {
        ModelDisk.reset();
        Path at = createFolder();
        DurableLog killed = new DurableLog(ModelDisk.folder(at), 128, ModelDisk.SCHEME);
        killed.open();
        killed.rewrite(write(1, 1, 1, 1, EMPTY));
        ModelDisk.failingSyncs = 1;
        assertThrows(StorageException.class, () -> killed.save(List.of(write(2, 2, 2, 1, null))));
        ModelDisk.full = true;
        try (DurableLog log = new DurableLog(ModelDisk.folder(at), 128, ModelDisk.SCHEME)) {
            ModelDisk.failingSyncs = 1;
            assertThrows(StorageException.class, log::open);
            assertEquals(log.open().state().entries().size(), 2, "read on a full disk");
        }
        for (int seed = 0; seed < 20; seed++) {
            Path left = createFolder();
            ModelDisk.writeFilesAfterPowerLoss(
                    left, ModelDisk.stepCount(), new SplittableRandom(seed), -1);
            try (DurableLog log = new DurableLog(left, 128)) {
                assertEquals(log.open().state().entries().size(), 2);
            }
        }
    }

    /** What was written in form 1, in which voters were one list, is read, and written anew. */
    @Test
    public void format1IsReadAndRewritten() throws Exception {
        Path at = createFolder();
        KryoCodec codec = LogFormat1.codec();
        try (MVStore old =
                new MVStore.Builder().fileName(at.resolve("ledger-3.mv").toString()).open()) {
            old.openMap("meta").put("form", new byte[] {1});
            old.openMap("meta").put("promise", codec.write(new DurableLog.Vote(SELF, 4, SELF)));
            old.openMap("meta")
                    .put(
                            "base",
                            codec.write(
                                    new LogFormat1.SnapshotV1(
                                            5, 3, List.of(SELF), new byte[] {9})));
            List<LogFormat1.EntryV1> entries =
                    List.of(
                            new LogFormat1.EntryV1(4, null, null),
                            new LogFormat1.EntryV1(4, new byte[] {1}, null),
                            new LogFormat1.EntryV1(4, null, List.of(SELF)));
            for (int i = 0; i < entries.size(); i++) {
                old.openMap("entries").put(6L + i, codec.write(entries.get(i)));
            }
        }
        for (int i = 0; i < 2; i++) {
            try (DurableLog log = new DurableLog(at, 128)) {
                PersistedState s = recoverAndRewrite(log);
                assertEquals(s.votedFor(), SELF);
                assertEquals(s.term(), 4);
                assertEquals(s.snapshot().voters(), VoterSet.of(List.of(SELF)));
                assertEquals(s.snapshot().state(), new byte[] {9});
                assertEquals(s.entries().get(1).command(), new byte[] {1});
                assertEquals(s.entries().get(2).voters(), VoterSet.of(List.of(SELF)));
            }
        }
    }

    /** Voters in the midst of a change are kept. */
    @Test
    public void jointVotersAreKept() throws Exception {
        Path at = createFolder();
        VoterSet joint = new VoterSet(List.of(SELF), List.of(new Member("10.0.0.2", "n")));
        try (DurableLog log = new DurableLog(at, 128)) {
            recoverAndRewrite(log);
            log.save(
                    List.of(
                            new LogWrite(
                                    1,
                                    SELF,
                                    2,
                                    null,
                                    8,
                                    List.of(new LogEntry(2, null, joint)),
                                    new Snapshot(7, 1, joint, new byte[0]))));
        }
        try (DurableLog log = new DurableLog(at, 128)) {
            PersistedState s = log.open().state();
            assertEquals(s.snapshot().voters(), joint);
            assertEquals(s.entries().get(0).voters(), joint);
        }
    }
}
