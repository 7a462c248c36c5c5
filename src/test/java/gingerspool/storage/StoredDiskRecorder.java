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
 * Recorded the disks in src/test/resources/stored, with the program as it was before the components
 * of its records were renamed. A new run records the current program, which is only useful for a
 * new format of the log.
 */
final class StoredDiskRecorder {
    static final int CHANGES = 92;
    private static final int REPLACED_AFTER_VERSION = 55;

    private StoredDiskRecorder() {}

    /** The argument is the output folder of the two archives. */
    public static void main(String[] arguments) throws Exception {
        Path output = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("stored");
        record(folder);
        zip(folder, output.resolve("form2.zip"));
        Path format1 = Files.createTempDirectory("stored");
        for (int number : new int[] {0, 1, 3}) {
            writeFormat1(folder.resolve("node-" + number), format1.resolve("node-" + number));
        }
        zip(format1, output.resolve("form1.zip"));
    }

    /** Records about 90 changes, a planned replacement of a member among them, and a snapshot. */
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

    /** Writes the same content in format 1 of the log, including the accepted changes. */
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

    /**
     * The snapshot's state in its earlier form: full digests of the accepted changes, by version.
     */
    private static byte[] earlierSnapshotState(byte[] state) throws Exception {
        Map<?, ?> snapshot = (Map<?, ?>) Json.read(state, 0, state.length);
        Map<?, ?> tree = (Map<?, ?>) snapshot.get("tree");
        Map<String, Object> digests = new TreeMap<>();
        for (int version = 1; version <= ((Number) tree.get("Version")).intValue(); version++) {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(
                    ((version == 1) + " " + (version - 1) + " ")
                            .getBytes(StandardCharsets.US_ASCII));
            digests.put(
                    String.valueOf(version),
                    HexFormat.of().formatHex(sha256.digest(StoredCore.body(version))));
        }
        return Json.write(Map.of("tree", tree, "taken", digests)).getBytes(StandardCharsets.UTF_8);
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
