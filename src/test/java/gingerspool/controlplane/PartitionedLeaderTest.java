package gingerspool.controlplane;

import static gingerspool.controlplane.CoreModel.completeConfiguration;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.controlplane.CoreModel.Answer;
import gingerspool.controlplane.CoreModel.Node;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What operators get from a leader that was cut off for twenty seconds. */
public class PartitionedLeaderTest {
    private static final double PARTITION_MS = 20_000;

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    /** Once others may lead, nothing is answered from the state of the one that is cut off. */
    @Test(dataProvider = "seeds")
    public void answersWithoutStaleReadsOrRejections(long seed) {
        CoreModel core = new CoreModel(seed);
        assertEquals(
                core.changeUntilDecided(true, 0, completeConfiguration(1, "before")).status, 200);
        Node old = core.awaitLeader();
        core.isolate(old);
        List<Answer> reads = new ArrayList<>();
        List<Answer> changes = new ArrayList<>();
        long version = 1;
        boolean otherLed = false;
        for (double at = 0; at < PARTITION_MS; at += 100) {
            boolean otherLeads = core.others(old).stream().anyMatch(Node::isLeading);
            otherLed |= otherLeads;
            assertFalse(otherLeads && old.isLeading(), "two lead");
            Answer read = old.read();
            if (otherLed) {
                assertTrue(read.status == 503 || read.status == 307, "" + read.status);
                Node other = core.awaitLeader(core.others(old));
                assertEquals(
                        other.change(true, version, completeConfiguration(++version, "n")).status,
                        0);
            }
            reads.add(read);
            changes.add(old.change(true, 1, completeConfiguration(100 + (long) at, "cut off")));
            double sentAt = core.loop.now();
            core.loop.run(100);
            assertTrue(read.answeredAt <= sentAt, "silence");
        }
        assertTrue(otherLed);
        core.loop.run(1_000);
        for (Answer change : changes) {
            assertTrue(change.status == 503 || change.status == 307, "" + change.status);
        }
        core.cutLinks.clear();
        core.loop.run(3_000);
        assertEquals(old.state.version(), version);
        assertEquals(old.state.items(), core.awaitLeader().state.items());
    }

    /** It is heard and hears nobody, or hears and is heard by nobody. */
    @Test(dataProvider = "seeds")
    public void oneWayCutEndsLease(long seed) {
        CoreModel core = new CoreModel(seed);
        assertEquals(
                core.changeUntilDecided(true, 0, completeConfiguration(1, "before")).status, 200);
        Node old = core.awaitLeader();
        for (Node other : core.others(old)) {
            core.cutLinks.add(seed % 2 == 0 ? old.ip + ">" + other.ip : other.ip + ">" + old.ip);
        }
        core.loop.run(4 * CoreModel.LEASE_MS);
        int read = old.read().status;
        assertTrue(read == 503 || read == 307, "" + read);
        Node next = core.awaitLeader(core.others(old));
        Answer change = next.change(true, 1, completeConfiguration(2, "after"));
        core.loop.run(200);
        assertEquals(change.status, 200);
        core.loop.run(PARTITION_MS);
        assertTrue(core.others(old).stream().anyMatch(Node::isLeading), "it disturbs the others");
    }

    /** A change that was under way as the cut came is answered within a second, without a claim. */
    @Test(dataProvider = "seeds")
    public void pendingChangeIsAnsweredWithinOneSecond(long seed) {
        CoreModel core = new CoreModel(seed);
        Node old = core.awaitLeader();
        core.isolate(old);
        double sentAt = core.loop.now();
        Answer change = old.change(true, 0, completeConfiguration(1, "a"));
        core.loop.run(PARTITION_MS);
        assertEquals(change.status, 503);
        assertTrue(change.answeredAt - sentAt < 1_000, "after " + (change.answeredAt - sentAt));
    }
}
