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

/** Members that lack more than the leader's log still has are brought up by snapshots in pieces. */
public class SnapshotTransferTest {
    private static final int FLOOR = 5_000;
    private static final int PIECE = 500;

    /** A follower that is down while the log is replaced by snapshots, and the leader. */
    private static final class Away {
        final TestCluster cluster;
        final Node leader;
        final Node follower;

        Away(long seed, int changes, int bytes, ConsensusSafeguard... out) {
            cluster = new TestCluster(3, FLOOR, PIECE, seed, out);
            leader = cluster.awaitLeader();
            cluster.change(5, 100);
            follower = cluster.nodes.values().stream().filter(n -> n != leader).findFirst().get();
            follower.stop(0);
            cluster.change(changes, bytes);
        }

        void comeBack() {
            follower.start(List.of());
        }

        double untilAgreed(double most) {
            return cluster.runUntil(most, TestCluster::agrees);
        }
    }

    private static boolean isPiece(ConsensusMessage.Envelope e) {
        return e.message() instanceof ConsensusMessage.InstallSnapshot;
    }

    private static ConsensusMessage.InstallSnapshot piece(ConsensusMessage.Envelope e) {
        return (ConsensusMessage.InstallSnapshot) e.message();
    }

    /** 500 changes behind, with eight more under way at any time, it is back within a second. */
    @Test
    public void aMemberAwayFor500ChangesIsBackWhileChangesGoOn() {
        Away away = new Away(1, 500, 200);
        away.comeBack();
        TestCluster cluster = away.cluster;
        double took = 0;
        long behind = Long.MAX_VALUE;
        while (behind > 8) {
            assertTrue(took < 1000, behind + " entries behind after " + took + " ms");
            if (took % 3 == 0) {
                cluster.propose(200);
            }
            cluster.run(1);
            took++;
            behind = away.leader.replica.appliedIndex() - away.follower.replica.appliedIndex();
        }
        away.untilAgreed(1000);
    }

    /** Pieces and answers are lost, late and come twice; more is changed meanwhile. */
    @Test
    public void anyLossAndOrderOfPiecesIsMended() {
        for (long seed = 1; seed <= 50; seed++) {
            Away away = new Away(seed, 60, 300);
            SplittableRandom chance = new SplittableRandom(seed);
            List<ConsensusMessage.Envelope> twice = new ArrayList<>();
            away.cluster.delaySpread = 30;
            away.cluster.arrives =
                    e -> {
                        if (isPiece(e) && chance.nextInt(3) == 0) {
                            twice.add(e);
                        }
                        boolean transfer =
                                isPiece(e) || e.message() instanceof ConsensusMessage.SnapshotReply;
                        return !transfer || chance.nextInt(3) > 0;
                    };
            away.comeBack();
            for (int i = 0; i < 40; i++) {
                away.cluster.propose(100);
                away.cluster.run(25);
                if (!twice.isEmpty()) {
                    ConsensusMessage.Envelope late = twice.remove(chance.nextInt(twice.size()));
                    away.follower.replica.receive(away.cluster.now, late.from(), late.message());
                }
            }
            away.cluster.arrives = e -> true;
            away.cluster.delaySpread = 0;
            away.untilAgreed(5000);
        }
    }

    /** What has arrived is kept when the link is cut, and when another leader goes on with it. */
    @Test
    public void aTransferIsResumed() {
        Away away = new Away(3, 40, 4000);
        TestCluster cluster = away.cluster;
        cluster.arrives = e -> !isPiece(e) || piece(e).piece().number() < 5;
        away.comeBack();
        cluster.run(300);
        List<Integer> sent = new ArrayList<>();
        cluster.arrives =
                e -> {
                    if (isPiece(e) && piece(e).piece().pieces() > 5) {
                        sent.add(piece(e).piece().number());
                    }
                    return true;
                };
        away.untilAgreed(3000);
        assertTrue(sent.stream().allMatch(n -> n >= 5), "sent again: " + sent);
        assertFalse(sent.isEmpty());
    }

    @Test
    public void theLeaderIsLostWhileItSends() {
        for (long seed = 1; seed <= 20; seed++) {
            Away away = new Away(seed, 40, 4000);
            TestCluster cluster = away.cluster;
            cluster.arrives = e -> !isPiece(e) || piece(e).piece().number() < 3;
            away.comeBack();
            cluster.run(200);
            away.leader.stop(0);
            cluster.arrives = e -> true;
            cluster.awaitLeader();
            cluster.run(1000);
            assertTrue(cluster.agrees(), "seed " + seed);
            away.leader.start(List.of());
            cluster.run(1000);
            assertTrue(cluster.agrees(), "seed " + seed);
        }
    }

    /**
     * A piece that was changed on its way: with the guard it is sent again, without it is taken.
     */
    @Test
    public void aWrongDigestIsNotInstalled() {
        assertTrue(agreesAfterDamage());
        assertFalse(agreesAfterDamage(ConsensusSafeguard.SNAPSHOT_DIGEST_CHECKED));
    }

    private static boolean agreesAfterDamage(ConsensusSafeguard... out) {
        Away away = new Away(4, 40, 4000, out);
        boolean[] damaged = {false};
        away.cluster.onItsWay =
                e -> {
                    if (damaged[0] || !isPiece(e) || piece(e).piece().number() != 4) {
                        return e;
                    }
                    damaged[0] = true;
                    ConsensusMessage.InstallSnapshot m = piece(e);
                    SnapshotPiece p = m.piece();
                    byte[] bytes = p.bytes().clone();
                    bytes[bytes.length - 1] ^= 1;
                    SnapshotPiece changed =
                            new SnapshotPiece(
                                    p.index(),
                                    p.snapshotTerm(),
                                    p.voters(),
                                    p.digest(),
                                    p.pieces(),
                                    p.number(),
                                    bytes);
                    return new ConsensusMessage.Envelope(
                            e.from(),
                            e.to(),
                            new ConsensusMessage.InstallSnapshot(
                                    m.term(), changed, m.commitIndex(), m.sentAt()));
                };
        away.comeBack();
        away.cluster.run(2000);
        assertTrue(damaged[0]);
        return away.cluster.agrees();
    }

    /** A snapshot that arrives after more was applied: with the guard it changes nothing. */
    @Test
    public void aLateSnapshotDoesNotTakeTheStateBack() {
        assertTrue(stateAfterLateSnapshot() > 60);
        assertTrue(stateAfterLateSnapshot(ConsensusSafeguard.SNAPSHOT_ONLY_FORWARD) <= 60);
    }

    private static int stateAfterLateSnapshot(ConsensusSafeguard... out) {
        Away away = new Away(5, 50, 300, out);
        List<ConsensusMessage.Envelope> pieces = new ArrayList<>();
        away.cluster.arrives =
                e -> {
                    if (isPiece(e)) {
                        pieces.add(e);
                    }
                    return true;
                };
        away.comeBack();
        away.untilAgreed(2000);
        away.cluster.change(10, 100);
        away.cluster.nodes.values().forEach(n -> assertEquals(n.applied.size(), 65));
        away.cluster.arrives = e -> false;
        pieces.forEach(e -> away.follower.replica.receive(away.cluster.now, e.from(), e.message()));
        return away.follower.applied.size();
    }

    /** The disk fills while the snapshot is installed, and then the process ends, at any write. */
    @Test
    public void aFullDiskOrARestartDuringTheInstallLosesNothing() {
        for (int step = 0; step < 40; step++) {
            Away away = new Away(6, 40, 1000);
            away.comeBack();
            away.cluster.run(step);
            away.follower.diskFails = true;
            away.cluster.change(3, 100);
            if (step % 2 == 0) {
                away.follower.diskWorksAgain();
            } else {
                away.follower.stop(step / 2 % (away.follower.unsynced.size() + 1));
                away.follower.diskFails = false;
                away.follower.start(List.of());
            }
            away.untilAgreed(3000);
        }
    }

    /**
     * A snapshot comes to a member that holds acknowledged entries beyond it: they stay. Without
     * the guard it holds fewer than it acknowledged.
     */
    @Test
    public void entriesBeyondASnapshotStay() {
        assertEquals(lastAfterInstall(), 8);
        assertEquals(lastAfterInstall(ConsensusSafeguard.SNAPSHOT_KEEPS_MATCHING_LOG), 4);
    }

    private static long lastAfterInstall(ConsensusSafeguard... out) {
        TestCluster cluster = new TestCluster(0, FLOOR, PIECE, 1, out);
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

    /** Guards against a count of pieces that takes the heap of who reads it, or ends its loop. */
    @Test(dataProvider = "countsOfPieces")
    public void aCountOfPiecesReservesNothing(int pieces) {
        TestCluster cluster = new TestCluster(0, FLOOR, PIECE, 1);
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
    Object[][] countsOfPieces() {
        return new Object[][] {{Integer.MAX_VALUE}, {0}, {-1}};
    }
}
