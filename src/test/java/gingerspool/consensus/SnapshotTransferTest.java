package gingerspool.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.consensus.TestCluster.Node;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Followers that need entries which the leader has compacted receive a snapshot in pieces. */
public class SnapshotTransferTest {
    private static final int SNAPSHOT_THRESHOLD_BYTES = 5_000;
    private static final int PIECE_BYTES = 500;

    /** A cluster with one follower that is down while the leader compacts its log. */
    private static final class LaggingFollower {
        final TestCluster cluster;
        final Node leader;
        final Node follower;

        LaggingFollower(long seed, int commands, int bytes, ConsensusSafeguard... disabled) {
            cluster = new TestCluster(3, SNAPSHOT_THRESHOLD_BYTES, PIECE_BYTES, seed, disabled);
            leader = cluster.awaitLeader();
            cluster.proposeCommands(5, 100);
            follower = cluster.nodes.values().stream().filter(n -> n != leader).findFirst().get();
            follower.stop(0);
            cluster.proposeCommands(commands, bytes);
        }

        void restartFollower() {
            follower.start(List.of());
        }

        double awaitConvergence(double maxMs) {
            return cluster.runUntil(maxMs, TestCluster::hasConverged);
        }
    }

    private static boolean isSnapshotPiece(ConsensusMessage.Envelope envelope) {
        return envelope.message() instanceof ConsensusMessage.InstallSnapshot;
    }

    private static ConsensusMessage.InstallSnapshot installMessage(
            ConsensusMessage.Envelope envelope) {
        return (ConsensusMessage.InstallSnapshot) envelope.message();
    }

    /**
     * A follower that missed 500 commands is at most eight entries behind within one second, while
     * a command is proposed every 3 ms.
     */
    @Test
    public void laggingFollowerCatchesUpUnderLoad() {
        LaggingFollower lagging = new LaggingFollower(1, 500, 200);
        lagging.restartFollower();
        TestCluster cluster = lagging.cluster;
        double elapsedMs = 0;
        long lag = Long.MAX_VALUE;
        while (lag > 8) {
            assertTrue(elapsedMs < 1000, lag + " entries behind after " + elapsedMs + " ms");
            if (elapsedMs % 3 == 0) {
                cluster.propose(200);
            }
            cluster.run(1);
            elapsedMs++;
            lag = lagging.leader.replica.appliedIndex() - lagging.follower.replica.appliedIndex();
        }
        lagging.awaitConvergence(1000);
    }

    /** Pieces and replies are lost, delayed and duplicated while commands are proposed. */
    @Test
    public void transferSurvivesLossReorderingAndDuplicates() {
        for (long seed = 1; seed <= 50; seed++) {
            LaggingFollower lagging = new LaggingFollower(seed, 60, 300);
            SplittableRandom random = new SplittableRandom(seed);
            List<ConsensusMessage.Envelope> duplicates = new ArrayList<>();
            lagging.cluster.delaySpreadMs = 30;
            lagging.cluster.isDelivered =
                    e -> {
                        if (isSnapshotPiece(e) && random.nextInt(3) == 0) {
                            duplicates.add(e);
                        }
                        boolean transfer =
                                isSnapshotPiece(e)
                                        || e.message() instanceof ConsensusMessage.SnapshotReply;
                        return !transfer || random.nextInt(3) > 0;
                    };
            lagging.restartFollower();
            for (int i = 0; i < 40; i++) {
                lagging.cluster.propose(100);
                lagging.cluster.run(25);
                if (!duplicates.isEmpty()) {
                    ConsensusMessage.Envelope duplicate =
                            duplicates.remove(random.nextInt(duplicates.size()));
                    lagging.follower.replica.receive(
                            lagging.cluster.now, duplicate.from(), duplicate.message());
                }
            }
            lagging.cluster.isDelivered = e -> true;
            lagging.cluster.delaySpreadMs = 0;
            lagging.awaitConvergence(5000);
        }
    }

    /** Pieces received before an interruption of the transfer are kept and not sent again. */
    @Test
    public void interruptedTransferResumes() {
        LaggingFollower lagging = new LaggingFollower(3, 40, 4000);
        TestCluster cluster = lagging.cluster;
        cluster.isDelivered = e -> !isSnapshotPiece(e) || installMessage(e).piece().number() < 5;
        lagging.restartFollower();
        cluster.run(300);
        List<Integer> sentPieces = new ArrayList<>();
        cluster.isDelivered =
                e -> {
                    if (isSnapshotPiece(e) && installMessage(e).piece().pieces() > 5) {
                        sentPieces.add(installMessage(e).piece().number());
                    }
                    return true;
                };
        lagging.awaitConvergence(3000);
        assertTrue(sentPieces.stream().allMatch(n -> n >= 5), "pieces sent again: " + sentPieces);
        assertFalse(sentPieces.isEmpty());
    }

    @Test
    public void transferSurvivesLossOfLeader() {
        for (long seed = 1; seed <= 20; seed++) {
            LaggingFollower lagging = new LaggingFollower(seed, 40, 4000);
            TestCluster cluster = lagging.cluster;
            cluster.isDelivered =
                    e -> !isSnapshotPiece(e) || installMessage(e).piece().number() < 3;
            lagging.restartFollower();
            cluster.run(200);
            lagging.leader.stop(0);
            cluster.isDelivered = e -> true;
            cluster.awaitLeader();
            cluster.run(1000);
            assertTrue(cluster.hasConverged(), "seed " + seed);
            lagging.leader.start(List.of());
            cluster.run(1000);
            assertTrue(cluster.hasConverged(), "seed " + seed);
        }
    }

    /**
     * A piece is corrupted in transit: with the safeguard the snapshot is sent again, without it
     * the corrupted snapshot is installed.
     */
    @Test
    public void snapshotWithWrongDigestIsNotInstalled() {
        assertTrue(convergesAfterCorruption());
        assertFalse(convergesAfterCorruption(ConsensusSafeguard.SNAPSHOT_DIGEST_CHECKED));
    }

    private static boolean convergesAfterCorruption(ConsensusSafeguard... disabled) {
        LaggingFollower lagging = new LaggingFollower(4, 40, 4000, disabled);
        boolean[] corrupted = {false};
        lagging.cluster.inTransit =
                e -> {
                    if (corrupted[0]
                            || !isSnapshotPiece(e)
                            || installMessage(e).piece().number() != 4) {
                        return e;
                    }
                    corrupted[0] = true;
                    ConsensusMessage.InstallSnapshot install = installMessage(e);
                    SnapshotPiece original = install.piece();
                    byte[] bytes = original.bytes().clone();
                    bytes[bytes.length - 1] ^= 1;
                    SnapshotPiece corruptedPiece =
                            new SnapshotPiece(
                                    original.index(),
                                    original.snapshotTerm(),
                                    original.voters(),
                                    original.digest(),
                                    original.pieces(),
                                    original.number(),
                                    bytes);
                    return new ConsensusMessage.Envelope(
                            e.from(),
                            e.to(),
                            new ConsensusMessage.InstallSnapshot(
                                    install.term(),
                                    corruptedPiece,
                                    install.commitIndex(),
                                    install.sentAt()));
                };
        lagging.restartFollower();
        lagging.cluster.run(2000);
        assertTrue(corrupted[0]);
        return lagging.cluster.hasConverged();
    }

    /** A snapshot older than the applied state changes nothing while the safeguard is enabled. */
    @Test
    public void delayedSnapshotDoesNotRevertState() {
        assertTrue(appliedAfterDelayedSnapshot() > 60);
        assertTrue(appliedAfterDelayedSnapshot(ConsensusSafeguard.SNAPSHOT_ONLY_FORWARD) <= 60);
    }

    private static int appliedAfterDelayedSnapshot(ConsensusSafeguard... disabled) {
        LaggingFollower lagging = new LaggingFollower(5, 50, 300, disabled);
        List<ConsensusMessage.Envelope> pieces = new ArrayList<>();
        lagging.cluster.isDelivered =
                e -> {
                    if (isSnapshotPiece(e)) {
                        pieces.add(e);
                    }
                    return true;
                };
        lagging.restartFollower();
        lagging.awaitConvergence(2000);
        lagging.cluster.proposeCommands(10, 100);
        lagging.cluster.nodes.values().forEach(n -> assertEquals(n.applied.size(), 65));
        lagging.cluster.isDelivered = e -> false;
        pieces.forEach(
                e -> lagging.follower.replica.receive(lagging.cluster.now, e.from(), e.message()));
        return lagging.follower.applied.size();
    }

    /**
     * The disk fails while a snapshot is installed, at each of 40 points in time. Then it either
     * works again, or the process restarts with some of the unsynced writes on disk.
     */
    @Test
    public void diskFailureOrRestartDuringInstallLosesNothing() {
        for (int step = 0; step < 40; step++) {
            LaggingFollower lagging = new LaggingFollower(6, 40, 1000);
            lagging.restartFollower();
            lagging.cluster.run(step);
            lagging.follower.diskFails = true;
            lagging.cluster.proposeCommands(3, 100);
            if (step % 2 == 0) {
                lagging.follower.repairDisk();
            } else {
                lagging.follower.stop(step / 2 % (lagging.follower.unsynced.size() + 1));
                lagging.follower.diskFails = false;
                lagging.follower.start(List.of());
            }
            lagging.awaitConvergence(3000);
        }
    }

    /**
     * A member that installs a snapshot keeps the acknowledged entries after it. Without the
     * safeguard it would hold fewer entries than it has acknowledged.
     */
    @Test
    public void entriesAfterSnapshotAreKept() {
        assertEquals(lastIndexAfterInstall(), 8);
        assertEquals(lastIndexAfterInstall(ConsensusSafeguard.SNAPSHOT_KEEPS_MATCHING_LOG), 4);
    }

    private static long lastIndexAfterInstall(ConsensusSafeguard... disabled) {
        TestCluster cluster =
                new TestCluster(0, SNAPSHOT_THRESHOLD_BYTES, PIECE_BYTES, 1, disabled);
        Member self = new Member("n1", "0");
        Member leader = new Member("n0", "0");
        Node node = cluster.add(self);
        List<LogEntry> entries = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            entries.add(LogEntry.command(1, new byte[] {0, 0, 0, 0, 0, 0, 0, (byte) i}));
        }
        Snapshot empty = new Snapshot(0, 0, List.of(self, leader), null);
        node.disk = new PersistedState(self, 1, leader, empty, entries);
        node.start(List.of());
        byte[] state = new byte[Integer.BYTES];
        SnapshotPiece piece =
                new SnapshotPiece(4, 1, empty.voters(), SnapshotDigest.of(state), 1, 0, state);
        node.replica.receive(
                cluster.now, leader, new ConsensusMessage.InstallSnapshot(1, piece, 4, 0));
        cluster.run(10);
        return node.disk.snapshot().index() + node.disk.entries().size();
    }

    /**
     * Guards against a piece count in a message that exhausts the receiver's heap or ends its event
     * loop.
     */
    @Test(dataProvider = "pieceCounts")
    public void pieceCountDoesNotReserveMemory(int pieces) {
        TestCluster cluster = new TestCluster(0, SNAPSHOT_THRESHOLD_BYTES, PIECE_BYTES, 1);
        Member self = new Member("n1", "0");
        Member leader = new Member("n0", "0");
        Node node = cluster.add(self);
        Snapshot empty = new Snapshot(0, 0, List.of(self, leader), null);
        node.disk = new PersistedState(self, 1, leader, empty, List.of());
        node.start(List.of());
        SnapshotPiece piece = new SnapshotPiece(4, 1, empty.voters(), "d", pieces, 0, new byte[8]);
        node.replica.receive(
                cluster.now, leader, new ConsensusMessage.InstallSnapshot(1, piece, 4, 0));
        cluster.run(10);
        assertEquals(node.disk.snapshot().index(), 0);
    }

    @DataProvider
    Object[][] pieceCounts() {
        return new Object[][] {{Integer.MAX_VALUE}, {0}, {-1}};
    }
}
