package gingerspool.controlplane;

import static gingerspool.controlplane.ClusterModel.completeConfiguration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.ClusterModel.Answer;
import gingerspool.controlplane.ClusterModel.Node;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The answers that operators get from a leader that is partitioned for 20 s. */
public class PartitionedLeaderTest {
    private static final double PARTITION_MS = 20_000;

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    /** Once another member may lead, the partitioned one answers nothing from its own state. */
    @Test(dataProvider = "seeds")
    public void answersWithoutStaleReadsOrRejections(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        assertEquals(
                cluster.changeUntilDecided(true, 0, completeConfiguration(1, "before")).status,
                200);
        Node oldLeader = cluster.awaitLeader();
        cluster.isolate(oldLeader);
        List<Answer> reads = new ArrayList<>();
        List<Answer> changes = new ArrayList<>();
        long version = 1;
        boolean hasOtherLed = false;
        for (double at = 0; at < PARTITION_MS; at += 100) {
            boolean otherLeads = cluster.others(oldLeader).stream().anyMatch(Node::isLeading);
            hasOtherLed |= otherLeads;
            assertFalse(otherLeads && oldLeader.isLeading(), "two leaders at the same time");
            Answer read = oldLeader.read();
            if (hasOtherLed) {
                assertTrue(read.status == 503 || read.status == 307, "" + read.status);
                Node newLeader = cluster.awaitLeader(cluster.others(oldLeader));
                assertEquals(
                        newLeader.change(true, version, completeConfiguration(++version, "n"))
                                .status,
                        0);
            }
            reads.add(read);
            changes.add(
                    oldLeader.change(true, 1, completeConfiguration(100 + (long) at, "cut off")));
            double sentAt = cluster.loop.now();
            cluster.loop.run(100);
            assertTrue(read.answeredAt <= sentAt, "the read was not answered at once");
        }
        assertTrue(hasOtherLed);
        cluster.loop.run(1_000);
        for (Answer change : changes) {
            assertTrue(change.status == 503 || change.status == 307, "" + change.status);
        }
        cluster.cutLinks.clear();
        cluster.loop.run(3_000);
        assertEquals(oldLeader.state.version(), version);
        assertEquals(oldLeader.state.items(), cluster.awaitLeader().state.items());
    }

    /** The leader's links fail in one direction: it can only send, or only receive. */
    @Test(dataProvider = "seeds")
    public void oneWayCutEndsLease(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        assertEquals(
                cluster.changeUntilDecided(true, 0, completeConfiguration(1, "before")).status,
                200);
        Node oldLeader = cluster.awaitLeader();
        for (Node other : cluster.others(oldLeader)) {
            cluster.cutLinks.add(
                    seed % 2 == 0 ? oldLeader.ip + ">" + other.ip : other.ip + ">" + oldLeader.ip);
        }
        cluster.loop.run(4 * ClusterModel.LEASE_MS);
        int readStatus = oldLeader.read().status;
        assertTrue(readStatus == 503 || readStatus == 307, "" + readStatus);
        Node newLeader = cluster.awaitLeader(cluster.others(oldLeader));
        Answer change = newLeader.change(true, 1, completeConfiguration(2, "after"));
        cluster.loop.run(200);
        assertEquals(change.status, 200);
        cluster.loop.run(PARTITION_MS);
        assertTrue(
                cluster.others(oldLeader).stream().anyMatch(Node::isLeading),
                "the others have lost their leader");
    }

    /**
     * A change that is pending when the partition begins is answered within a second, as undecided.
     */
    @Test(dataProvider = "seeds")
    public void pendingChangeIsAnsweredWithinOneSecond(long seed) {
        ClusterModel cluster = new ClusterModel(seed);
        Node oldLeader = cluster.awaitLeader();
        cluster.isolate(oldLeader);
        double sentAt = cluster.loop.now();
        Answer change = oldLeader.change(true, 0, completeConfiguration(1, "a"));
        cluster.loop.run(PARTITION_MS);
        assertEquals(change.status, 503);
        assertTrue(change.answeredAt - sentAt < 1_000, "after " + (change.answeredAt - sentAt));
    }
}
