package gingerspool.storage;

import gingerspool.codec.KryoCodec;
import gingerspool.consensus.PersistedState;
import gingerspool.wire.Json;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;
import org.h2.mvstore.MVStore;

/**
 * Made the recorded disks of src/test/resources/stored, by the program as it stood before its
 * components were renamed. Run again it would record today's program, which is of use only for a
 * new form of the log.
 */
final class StoredDiskRecorder {
    static final int CHANGES = 92;
    private static final int REPLACED_AFTER_VERSION = 55;

    private StoredDiskRecorder() {}

    /** The argument is the folder that the two archives go to. */
    public static void main(String[] arguments) throws Exception {
        Path to = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("stored");
        record(folder);
        zip(folder, to.resolve("form2.zip"));
        Path old = Files.createTempDirectory("stored");
        for (int number : new int[] {0, 1, 3}) {
            writeFormat1(folder.resolve("node-" + number), old.resolve("node-" + number));
        }
        zip(old, to.resolve("form1.zip"));
    }

    /** Some 90 changes, a planned replacement of a member in between, and a snapshot. */
    private static void record(Path folder) throws Exception {
        try (StoredCore core = new StoredCore()) {
            for (int i = 0; i < StoredCore.SEEDS; i++) {
                core.start(i, folder.resolve("node-" + i), true);
            }
            for (int version = 1; version <= CHANGES; version++) {
                core.change(version == 1, version - 1, StoredCore.body(version));
                if (version == REPLACED_AFTER_VERSION) {
                    core.start(3, folder.resolve("node-3"), false);
                    core.advance(1000);
                    core.leave(core.nodes.get("10.0.0.2"));
                }
            }
            core.advance(1000);
        }
    }

    /** The same content as the first form of the log held it, accepted changes included. */
    private static void writeFormat1(Path from, Path to) throws Exception {
        PersistedState state;
        try (DurableLog log = new DurableLog(from, 128)) {
            state = log.open().state();
        }
        Files.createDirectories(to);
        KryoCodec codec = LogFormat1.codec();
        try (MVStore store =
                new MVStore.Builder().fileName(to.resolve("ledger-1.mv").toString()).open()) {
            Map<String, byte[]> meta = store.openMap("meta");
            meta.put("form", new byte[] {1});
            meta.put(
                    "promise",
                    codec.write(new DurableLog.Vote(state.self(), state.term(), state.votedFor())));
            meta.put(
                    "base",
                    codec.write(
                            new LogFormat1.SnapshotV1(
                                    state.snapshot().index(),
                                    state.snapshot().term(),
                                    state.snapshot().voters().voters(),
                                    earlierSnapshotState(state.snapshot().state()))));
            Map<Long, byte[]> entries = store.openMap("entries");
            long index = state.snapshot().index();
            for (var entry : state.entries()) {
                entries.put(
                        ++index,
                        codec.write(
                                new LogFormat1.EntryV1(
                                        entry.term(),
                                        entry.command(),
                                        entry.voters() == null ? null : entry.voters().voters())));
            }
        }
    }

    /** A snapshot with the accepted changes as whole digests, by version. */
    private static byte[] earlierSnapshotState(byte[] state) throws Exception {
        Map<?, ?> all = (Map<?, ?>) Json.read(state, 0, state.length);
        Map<?, ?> tree = (Map<?, ?>) all.get("tree");
        Map<String, Object> taken = new TreeMap<>();
        for (int version = 1; version <= ((Number) tree.get("Version")).intValue(); version++) {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(
                    ((version == 1) + " " + (version - 1) + " ")
                            .getBytes(StandardCharsets.US_ASCII));
            taken.put(
                    String.valueOf(version),
                    HexFormat.of().formatHex(sha.digest(StoredCore.body(version))));
        }
        return Json.write(Map.of("tree", tree, "taken", taken)).getBytes(StandardCharsets.UTF_8);
    }

    private static void zip(Path folder, Path to) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(folder)) {
            files = all.filter(Files::isRegularFile).sorted().toList();
        }
        try (OutputStream out = Files.newOutputStream(to);
                ZipOutputStream zip = new ZipOutputStream(out)) {
            zip.setLevel(9);
            for (Path file : files) {
                zip.putNextEntry(new ZipEntry(folder.relativize(file).toString()));
                Files.copy(file, zip);
                zip.closeEntry();
            }
        }
    }
}
