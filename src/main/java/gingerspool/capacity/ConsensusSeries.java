package gingerspool.capacity;

import gingerspool.capacity.Series.Medium;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.Snapshot;
import gingerspool.storage.DurableLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What agreement and the durable log cost, by members and by the size of the configuration. */
final class ConsensusSeries {
    private static final int FUNCTIONS = 200;
    private static final int MEMBERS = 3;
    private static final int CHANGES = 20;

    /** Changes after which a snapshot takes the place of the log. */
    private static final int SNAPSHOT_EVERY = 64;

    private static final double IDLE_SPAN = 6000;
    private static final double DISK_MB = 100_000;
    private static final int[] SIZES = {500, 1000, 2000, 4000, 8000};
    private static final int[] MEMBER_COUNTS = {3, 5, 7, 9, 11};
    private final Scale scale;

    ConsensusSeries(Scale scale) {
        this.scale = scale;
    }

    List<Series> measure() throws Exception {
        List<Series> all = new ArrayList<>();
        all.add(
                series(
                        "consensus.change.bytes.members",
                        "bytes between members for a change, " + FUNCTIONS + " functions",
                        "B",
                        "member",
                        Medium.MEMORY,
                        MEMBER_COUNTS,
                        (n, seed) -> changeBytes(n, FUNCTIONS, seed)));
        all.add(
                series(
                        "consensus.change.time.members",
                        "processor time of all members for a change, " + FUNCTIONS + " functions",
                        "us",
                        "member",
                        Medium.MEMORY,
                        MEMBER_COUNTS,
                        (n, seed) -> changeTime(n, FUNCTIONS, seed)));
        all.add(
                series(
                        "consensus.idle.bytes",
                        "bytes between members without changes, a second",
                        "B/s",
                        "member",
                        Medium.MEMORY,
                        MEMBER_COUNTS,
                        this::idleBytes));
        all.add(
                series(
                        "consensus.change.bytes.functions",
                        "bytes between " + MEMBERS + " members for a change, by functions",
                        "B",
                        "function",
                        Medium.MEMORY,
                        SIZES,
                        (n, seed) -> changeBytes(MEMBERS, n, seed)));
        all.add(
                series(
                        "consensus.learner.bytes",
                        "bytes to bring up a new member, by functions",
                        "B",
                        "function",
                        Medium.MEMORY,
                        SIZES,
                        (n, seed) -> new HollowCore(MEMBERS, n, seed).learn(seed)));
        all.add(
                series(
                        "log.change.bytes",
                        "log bytes for " + SNAPSHOT_EVERY + " changes and the snapshot after them",
                        "B",
                        "function",
                        Medium.DISK,
                        SIZES,
                        this::logBytes));
        all.add(
                series(
                        "log.snapshot.time",
                        "time until a snapshot is on disk, synced",
                        "us",
                        "function",
                        Medium.DISK,
                        SIZES,
                        this::snapshotTime));
        return all;
    }

    private Series series(
            String key,
            String what,
            String unit,
            String per,
            Medium medium,
            int[] sizes,
            Series.Probe probe)
            throws Exception {
        // Members are not divided: fewer than three have nobody to agree with.
        Scale of =
                sizes == MEMBER_COUNTS
                        ? new Scale(
                                1,
                                scale.rounds(),
                                scale.intervals(),
                                scale.interval(),
                                scale.seed())
                        : scale;
        return Series.measure(key, what, unit, per, medium, of, sizes, probe);
    }

    private static double changeBytes(int members, int functions, long seed) {
        HollowCore core = new HollowCore(members, functions, seed);
        long before = core.bytes;
        for (int i = 0; i < CHANGES; i++) {
            core.change(functions);
        }
        return (double) (core.bytes - before) / CHANGES;
    }

    private static double changeTime(int members, int functions, long seed) throws Exception {
        HollowCore core = new HollowCore(members, functions, seed);
        return Meter.microsOf(() -> core.change(functions));
    }

    private double idleBytes(int members, long seed) {
        HollowCore core = new HollowCore(members, 2, seed);
        long before = core.bytes;
        core.pass(IDLE_SPAN);
        return 1000.0 * (core.bytes - before) / IDLE_SPAN;
    }

    private double logBytes(int functions, long seed) throws Exception {
        Path folder = Files.createTempDirectory("gingerspool-capacity");
        try (DurableLog log = new DurableLog(folder, DISK_MB)) {
            log.open();
            byte[] state = new SampleConfiguration(seed).state(functions).state();
            log.rewrite(write(1, 1, List.of(), new Snapshot(0, 0, List.of(), state)));
            long before = size(folder);
            for (int i = 1; i <= SNAPSHOT_EVERY; i++) {
                byte[] change = new SampleConfiguration(seed).change(i + 1, functions);
                log.save(List.of(write(i + 1, i, List.of(new LogEntry(1, change, null)), null)));
            }
            Snapshot snapshot = new Snapshot(SNAPSHOT_EVERY, 1, List.of(), state);
            log.save(List.of(write(SNAPSHOT_EVERY + 2, SNAPSHOT_EVERY + 1, List.of(), snapshot)));
            return size(folder) - before;
        } finally {
            remove(folder);
        }
    }

    private double snapshotTime(int functions, long seed) throws Exception {
        Path folder = Files.createTempDirectory("gingerspool-capacity");
        try (DurableLog log = new DurableLog(folder, DISK_MB)) {
            log.open();
            byte[] state = new SampleConfiguration(seed).state(functions).state();
            log.rewrite(write(1, 1, List.of(), new Snapshot(0, 0, List.of(), state)));
            long begun = System.nanoTime();
            log.save(List.of(write(2, 1, List.of(), new Snapshot(0, 0, List.of(), state))));
            return (System.nanoTime() - begun) / 1000.0;
        } finally {
            remove(folder);
        }
    }

    private static LogWrite write(
            long ticket, long from, List<LogEntry> entries, Snapshot snapshot) {
        Member self = new Member("10.0.0.1", Member.FOUNDER);
        return new LogWrite(ticket, self, 1, self, from, entries, snapshot);
    }

    private static long size(Path folder) throws IOException {
        long sum = 0;
        try (Stream<Path> files = Files.list(folder)) {
            for (Path p : files.toList()) {
                sum += Files.size(p);
            }
        }
        return sum;
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(p);
            }
        }
    }
}
