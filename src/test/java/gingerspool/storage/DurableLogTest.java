package gingerspool.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

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

    private static LogWrite change(
            long ticket, long term, long from, int entries, Snapshot snapshot) {
        List<LogEntry> all = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            all.add(new LogEntry(term, new byte[] {(byte) (from + i)}, null));
        }
        return new LogWrite(ticket, SELF, term, null, from, all, snapshot);
    }

    private static Path file(Path folder) throws IOException {
        try (var all = Files.list(folder)) {
            return all.max(Path::compareTo).orElseThrow();
        }
    }

    private static Path folder() throws IOException {
        return Files.createTempDirectory("ledger");
    }

    @Test
    public void holdsPromiseEntriesAndBaseThroughTrimsAndRewrites() throws Exception {
        Path at = folder();
        try (DurableLog ledger = new DurableLog(at, 128)) {
            assertNull(ledger.open());
            ledger.save(List.of(change(1, 0, 1, 0, new Snapshot(0, 0, List.of(SELF), null))));
            ledger.save(List.of(change(2, 1, 1, 5, null), change(3, 2, 4, 1, null)));
        }
        try (DurableLog ledger = new DurableLog(at, 128)) {
            PersistedState s = ledger.open();
            assertEquals(s.entries().size(), 4, "what was trimmed is gone");
            assertEquals(s.entries().get(3).term(), 2);
            assertEquals(s.self(), SELF);
            ledger.rewrite(change(4, 3, 5, 2, new Snapshot(4, 2, List.of(SELF), new byte[] {9})));
        }
        try (DurableLog ledger = new DurableLog(at, 128)) {
            PersistedState s = ledger.open();
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
    public void synchedContentOutlivesTornTails() throws Exception {
        Path at = folder();
        DurableLog ledger = new DurableLog(at, 128);
        ledger.open();
        ledger.save(List.of(change(1, 1, 1, 3, new Snapshot(0, 0, List.of(SELF), null))));
        byte[] synced = Files.readAllBytes(file(at));
        ledger.save(List.of(change(2, 2, 4, 40, null)));
        byte[] later = Files.readAllBytes(file(at));
        String name = file(at).getFileName().toString();
        ledger.close();
        for (int cut = synced.length; cut <= later.length; cut += 97) {
            Path torn = folder();
            try (RandomAccessFile f = new RandomAccessFile(torn.resolve(name).toFile(), "rw")) {
                f.write(synced);
                f.seek(synced.length);
                f.write(later, synced.length, cut - synced.length);
                f.write(new byte[] {1, 2, 3, 4, 5});
            }
            try (DurableLog l = new DurableLog(torn, 128)) {
                PersistedState s = l.open();
                assertTrue(s != null && s.entries().size() >= 3, "cut at " + cut);
            }
        }
    }

    @Test
    public void whatCanNotBeReadIsAsGoodAsEmpty() throws Exception {
        Path at = folder();
        Files.write(at.resolve("ledger-7.mv"), new byte[10_000]);
        try (DurableLog ledger = new DurableLog(at, 128)) {
            assertNull(ledger.open());
            ledger.save(List.of(change(1, 1, 1, 1, new Snapshot(0, 0, List.of(SELF), null))));
        }
        try (DurableLog ledger = new DurableLog(at, 128)) {
            assertEquals(ledger.open().entries().size(), 1);
        }
    }

    /**
     * A ledger's life on a modelled disk, then a loss of power at every step of it: what save() had
     * returned for is there each time, whichever of the later writes are present, absent or torn.
     */
    @Test
    public void whatWasSavedOutlivesALossOfPowerAtEachWriteAndSync() throws Exception {
        ModelDisk.begin();
        Path at = folder();
        // How many steps of the disk each change had taken when it was saved.
        List<Integer> saved = new ArrayList<>();
        try (DurableLog ledger = new DurableLog(at, 128, ModelDisk.SCHEME)) {
            ledger.open();
            ledger.save(List.of(change(1, 1, 1, 1, new Snapshot(0, 0, List.of(SELF), null))));
            saved.add(ModelDisk.steps());
            for (int n = 2; n <= 24; n++) {
                if (n % 8 == 0) {
                    ledger.rewrite(change(n, n, 1, n, new Snapshot(0, 0, List.of(SELF), null)));
                } else {
                    ledger.save(List.of(change(n, n, n, 1, null)));
                }
                saved.add(ModelDisk.steps());
            }
        }
        SplittableRandom chance = new SplittableRandom(5);
        for (int steps = saved.get(0); steps <= ModelDisk.steps(); steps++) {
            int cut = steps;
            int sure = (int) saved.stream().filter(s -> s <= cut).count();
            for (int play = 0; play < 12; play++) {
                Path left = folder();
                ModelDisk.lay(left, cut, chance);
                try (DurableLog ledger = new DurableLog(left, 128)) {
                    PersistedState s = ledger.open();
                    assertTrue(
                            s != null && s.entries().size() >= sure && s.term() >= sure,
                            "cut after step "
                                    + cut
                                    + " of the disk, "
                                    + sure
                                    + " were saved, found "
                                    + s);
                }
            }
        }
    }

    /** What was written in form 1, in which voters were one list, is read, and written anew. */
    @Test
    public void form1IsReadAndWrittenAnew() throws Exception {
        Path at = folder();
        KryoCodec codec = LogForm1.codec();
        try (MVStore old =
                new MVStore.Builder().fileName(at.resolve("ledger-3.mv").toString()).open()) {
            old.openMap("meta").put("form", new byte[] {1});
            old.openMap("meta").put("promise", codec.write(new DurableLog.Vote(SELF, 4, SELF)));
            old.openMap("meta")
                    .put(
                            "base",
                            codec.write(new LogForm1.State(5, 3, List.of(SELF), new byte[] {9})));
            List<LogForm1.Entry> entries =
                    List.of(
                            new LogForm1.Entry(4, null, null),
                            new LogForm1.Entry(4, new byte[] {1}, null),
                            new LogForm1.Entry(4, null, List.of(SELF)));
            for (int i = 0; i < entries.size(); i++) {
                old.openMap("entries").put(6L + i, codec.write(entries.get(i)));
            }
        }
        for (int i = 0; i < 2; i++) {
            try (DurableLog log = new DurableLog(at, 128)) {
                PersistedState s = log.open();
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
        Path at = folder();
        VoterSet joint = new VoterSet(List.of(SELF), List.of(new Member("10.0.0.2", "n")));
        try (DurableLog log = new DurableLog(at, 128)) {
            log.open();
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
            PersistedState s = log.open();
            assertEquals(s.snapshot().voters(), joint);
            assertEquals(s.entries().get(0).voters(), joint);
        }
    }
}
