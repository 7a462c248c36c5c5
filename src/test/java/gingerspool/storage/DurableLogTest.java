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

/** Recovery of the durable log after restarts, power loss, disk failures and format changes. */
public class DurableLogTest {
    private static final Member SELF = new Member("10.0.0.1", "m");
    private static final Snapshot EMPTY = new Snapshot(0, 0, List.of(SELF), null);

    private static LogWrite write(
            long ticket, long term, long from, int entryCount, Snapshot snapshot) {
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            entries.add(new LogEntry(term, new byte[] {(byte) (from + i)}, null));
        }
        return new LogWrite(ticket, SELF, term, null, from, entries, snapshot);
    }

    /** Returns the recovered state and rewrites it to a new file, as LogWriter does. */
    private static PersistedState recoverAndRewrite(DurableLog log) throws Exception {
        PersistedState state = log.open().state();
        log.rewrite(
                state == null
                        ? write(1, 0, 1, 0, EMPTY)
                        : new LogWrite(
                                1,
                                state.self(),
                                state.term(),
                                state.votedFor(),
                                state.snapshot().index() + 1,
                                state.entries(),
                                state.snapshot()));
        return state;
    }

    private static Path newestFile(Path folder) throws IOException {
        try (var files = Files.list(folder)) {
            return files.max(Path::compareTo).orElseThrow();
        }
    }

    private static Path createFolder() throws IOException {
        return Files.createTempDirectory("ledger");
    }

    @Test
    public void holdsVoteEntriesAndSnapshotThroughTruncationAndRewrites() throws Exception {
        Path folder = createFolder();
        try (DurableLog log = new DurableLog(folder, 128)) {
            assertNull(recoverAndRewrite(log));
            log.save(List.of(write(1, 0, 1, 0, EMPTY)));
            log.save(List.of(write(2, 1, 1, 5, null), write(3, 2, 4, 1, null)));
        }
        try (DurableLog log = new DurableLog(folder, 128)) {
            PersistedState state = recoverAndRewrite(log);
            assertEquals(state.entries().size(), 4, "truncated entries are gone");
            assertEquals(state.entries().get(3).term(), 2);
            assertEquals(state.self(), SELF);
            log.rewrite(write(4, 3, 5, 2, new Snapshot(4, 2, List.of(SELF), new byte[] {9})));
        }
        try (DurableLog log = new DurableLog(folder, 128)) {
            PersistedState state = recoverAndRewrite(log);
            assertEquals(state.snapshot().index(), 4);
            assertEquals(state.snapshot().state(), new byte[] {9});
            assertEquals(state.entries().size(), 2);
            assertEquals(state.term(), 3);
        }
    }

    /**
     * A power loss can leave part of what was written after the last sync, followed by garbage; the
     * synced content must still be readable.
     */
    @Test
    public void syncedContentSurvivesTornWrites() throws Exception {
        Path folder = createFolder();
        DurableLog log = new DurableLog(folder, 128);
        recoverAndRewrite(log);
        log.save(List.of(write(1, 1, 1, 3, EMPTY)));
        byte[] synced = Files.readAllBytes(newestFile(folder));
        log.save(List.of(write(2, 2, 4, 40, null)));
        byte[] laterContent = Files.readAllBytes(newestFile(folder));
        String name = newestFile(folder).getFileName().toString();
        log.close();
        for (int cut = synced.length; cut <= laterContent.length; cut += 97) {
            Path torn = createFolder();
            try (RandomAccessFile file = new RandomAccessFile(torn.resolve(name).toFile(), "rw")) {
                file.write(synced);
                file.seek(synced.length);
                file.write(laterContent, synced.length, cut - synced.length);
                file.write(new byte[] {1, 2, 3, 4, 5});
            }
            try (DurableLog tornLog = new DurableLog(torn, 128)) {
                PersistedState state = tornLog.open().state();
                assertTrue(state != null && state.entries().size() >= 3, "cut at " + cut);
            }
        }
    }

    @Test
    public void emptyAndUnreadableDisksAreDistinguished() throws Exception {
        Path folder = createFolder();
        try (DurableLog log = new DurableLog(folder, 128)) {
            assertTrue(log.open().isEmpty());
        }
        Files.write(folder.resolve("ledger-6.mv"), new byte[0]);
        try (DurableLog log = new DurableLog(folder, 128)) {
            assertTrue(log.open().isEmpty(), "created but never written");
        }
        Files.write(folder.resolve("ledger-7.mv"), new byte[10_000]);
        try (DurableLog log = new DurableLog(folder, 128)) {
            RecoveredLog found = log.open();
            assertTrue(found.isLost() && !found.isEmpty());
            assertTrue(found.unreadable().get(0).startsWith("ledger-7.mv: "), found.toString());
            assertNull(recoverAndRewrite(log));
            log.save(List.of(write(2, 1, 1, 1, EMPTY)));
        }
        try (DurableLog log = new DurableLog(folder, 128)) {
            assertEquals(log.open().state().entries().size(), 1);
        }
    }

    @Test
    public void fallsBackToTheOlderFileIfTheNewerIsUnfinished() throws Exception {
        Path folder = createFolder();
        try (DurableLog log = new DurableLog(folder, 128)) {
            recoverAndRewrite(log);
            log.save(List.of(write(2, 1, 1, 3, null)));
        }
        Files.write(folder.resolve("ledger-9.mv"), new byte[5000]);
        try (DurableLog log = new DurableLog(folder, 128)) {
            RecoveredLog found = log.open();
            assertEquals(found.state().entries().size(), 3);
            assertEquals(found.unreadable().size(), 1);
        }
    }

    @Test
    public void doesNotTakeAFailedReadForAnUnreadableFile() throws Exception {
        ModelDisk.reset();
        Path folder = createFolder();
        try (DurableLog log = new DurableLog(ModelDisk.folder(folder), 128, ModelDisk.SCHEME)) {
            recoverAndRewrite(log);
            ModelDisk.failingReads = 1;
            assertThrows(StorageException.class, log::open);
            assertNotNull(log.open().state());
        }
    }

    @Test
    public void doesNotChangeAFileOfANewerFormat() throws Exception {
        Path folder = createFolder();
        try (MVStore newer = MVStore.open(folder.resolve("ledger-4.mv").toString())) {
            newer.openMap("meta").put("form", new byte[] {DurableLog.FORMAT + 1});
        }
        byte[] before = Files.readAllBytes(newestFile(folder));
        try (DurableLog log = new DurableLog(folder, 128)) {
            UnsupportedFormatException e =
                    expectThrows(UnsupportedFormatException.class, log::open);
            assertTrue(e.getMessage().contains("ledger-4.mv has format 3"), e.getMessage());
        }
        assertEquals(Files.readAllBytes(newestFile(folder)), before);
    }

    /**
     * Runs a log on a modelled disk that is full at times and fails syncs, then simulates a power
     * loss after every step: all confirmed content must be present, whichever later writes are
     * present, absent or torn, and whichever file creations and deletions that were not yet synced
     * are kept.
     */
    @Test
    public void writesOnceConfirmedSurviveAPowerLossAtEachStepWithEachSubsetOfNames()
            throws Exception {
        ModelDisk.reset();
        // The number of disk steps at the time of each confirmation.
        List<Integer> confirmed = new ArrayList<>();
        try (DurableLog log =
                new DurableLog(ModelDisk.folder(createFolder()), 128, ModelDisk.SCHEME)) {
            log.open();
            log.rewrite(write(1, 1, 1, 1, EMPTY));
            confirmed.add(ModelDisk.stepCount());
            for (int n = 2; n <= 24; n++) {
                LogWrite nextEntry = write(n, n, n, 1, null);
                LogWrite fullState = write(n, n, 1, n, EMPTY);
                if (n % 8 == 0) {
                    log.rewrite(fullState);
                } else if (n % 5 == 0) {
                    injectFault(n);
                    assertThrows(StorageException.class, () -> log.save(List.of(nextEntry)));
                    if (n % 2 == 0) {
                        assertThrows(StorageException.class, () -> log.rewrite(fullState));
                    }
                    ModelDisk.full = false;
                    log.rewrite(fullState);
                } else {
                    log.save(List.of(nextEntry));
                }
                confirmed.add(ModelDisk.stepCount());
                // Otherwise an older file could reappear and replace a newer one damaged later.
                assertEquals(ModelDisk.uncertainNames(ModelDisk.stepCount()), List.of());
            }
        }
        SplittableRandom random = new SplittableRandom(5);
        int subsets = 0;
        for (int steps = confirmed.get(0); steps <= ModelDisk.stepCount(); steps++) {
            int nameCount = ModelDisk.uncertainNames(steps).size();
            subsets = Math.max(subsets, 1 << nameCount);
            for (int keptNames = 0; keptNames < 1 << nameCount; keptNames++) {
                checkAfterPowerLoss(confirmed, steps, keptNames, random);
            }
        }
        assertTrue(subsets >= 4, "no step with two uncertain names: " + subsets);
    }

    private static void injectFault(int change) {
        ModelDisk.full = change % 10 == 0;
        ModelDisk.failingSyncs = ModelDisk.full ? 0 : 1;
    }

    private static void checkAfterPowerLoss(
            List<Integer> confirmed, int steps, int keptNames, SplittableRandom random)
            throws Exception {
        int confirmedCount = (int) confirmed.stream().filter(step -> step <= steps).count();
        for (int round = 0; round < 6; round++) {
            Path disk = createFolder();
            ModelDisk.writeFilesAfterPowerLoss(disk, steps, random, keptNames);
            try (DurableLog log = new DurableLog(disk, 128)) {
                PersistedState state = log.open().state();
                assertTrue(
                        state != null
                                && state.entries().size() >= confirmedCount
                                && state.term() >= confirmedCount,
                        "after step %d, kept names %s, %d confirmed, recovered %s"
                                .formatted(
                                        steps,
                                        Integer.toBinaryString(keptNames),
                                        confirmedCount,
                                        state));
            }
        }
    }

    /** Content that an earlier process wrote without a sync is synced before open() returns it. */
    @Test
    public void syncsRecoveredContentBeforeReturningIt() throws Exception {
        ModelDisk.reset();
        Path folder = createFolder();
        DurableLog killed = new DurableLog(ModelDisk.folder(folder), 128, ModelDisk.SCHEME);
        killed.open();
        killed.rewrite(write(1, 1, 1, 1, EMPTY));
        ModelDisk.failingSyncs = 1;
        assertThrows(StorageException.class, () -> killed.save(List.of(write(2, 2, 2, 1, null))));
        ModelDisk.full = true;
        try (DurableLog log = new DurableLog(ModelDisk.folder(folder), 128, ModelDisk.SCHEME)) {
            ModelDisk.failingSyncs = 1;
            assertThrows(StorageException.class, log::open);
            assertEquals(log.open().state().entries().size(), 2, "recovery works on a full disk");
        }
        for (int seed = 0; seed < 20; seed++) {
            Path disk = createFolder();
            ModelDisk.writeFilesAfterPowerLoss(
                    disk, ModelDisk.stepCount(), new SplittableRandom(seed), -1);
            try (DurableLog log = new DurableLog(disk, 128)) {
                assertEquals(log.open().state().entries().size(), 2);
            }
        }
    }

    /** A log of format 1, which stored the voters as one list, is read and rewritten. */
    @Test
    public void format1IsReadAndRewritten() throws Exception {
        Path folder = createFolder();
        KryoCodec codec = LogFormat1.codec();
        try (MVStore old =
                new MVStore.Builder().fileName(folder.resolve("ledger-3.mv").toString()).open()) {
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
            try (DurableLog log = new DurableLog(folder, 128)) {
                PersistedState state = recoverAndRewrite(log);
                assertEquals(state.votedFor(), SELF);
                assertEquals(state.term(), 4);
                assertEquals(state.snapshot().voters(), VoterSet.of(List.of(SELF)));
                assertEquals(state.snapshot().state(), new byte[] {9});
                assertEquals(state.entries().get(1).command(), new byte[] {1});
                assertEquals(state.entries().get(2).voters(), VoterSet.of(List.of(SELF)));
            }
        }
    }

    /** The two voter sets of a change in progress are kept. */
    @Test
    public void jointVotersAreKept() throws Exception {
        Path folder = createFolder();
        VoterSet joint = new VoterSet(List.of(SELF), List.of(new Member("10.0.0.2", "n")));
        try (DurableLog log = new DurableLog(folder, 128)) {
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
        try (DurableLog log = new DurableLog(folder, 128)) {
            PersistedState state = log.open().state();
            assertEquals(state.snapshot().voters(), joint);
            assertEquals(state.entries().get(0).voters(), joint);
        }
    }
}
