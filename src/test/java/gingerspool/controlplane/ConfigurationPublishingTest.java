package gingerspool.controlplane;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.ConfigurationChecksum;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.dataplane.ConfigurationSubscriber;
import gingerspool.peers.ModelEventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Pushes to schedulers on slow links while the configuration changes often and two members take
 * turns leading, with random steps by seed: every scheduler reaches the newest version in time,
 * never goes back to an older one, and no link holds more than one push.
 */
public class ConfigurationPublishingTest {
    private static final double HEARTBEAT_MS = 1_000;
    private static final double APPLY_TIMEOUT_MS = 3_000;
    private static final double LINK_DELAY_MS = 12;
    private static final int FUNCTION_COUNT = 100;

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);

    /** The publishers of two cluster members, of which one leads. */
    private final class PublisherPair {
        final ModelEventLoop loop = new ModelEventLoop();
        final List<ConfigurationPublisher> members =
                List.of(
                        new ConfigurationPublisher(loop, HEARTBEAT_MS, APPLY_TIMEOUT_MS),
                        new ConfigurationPublisher(loop, HEARTBEAT_MS, APPLY_TIMEOUT_MS));
        int leader;
        Configuration newest = initialConfiguration();

        void commit(Configuration configuration) {
            newest = configuration;
            members.forEach(member -> member.onConfigurationChanged(configuration));
        }

        ConfigurationPublisher leader() {
            return members.get(leader);
        }
    }

    private static Configuration initialConfiguration() {
        Configuration.Builder builder = Configuration.newBuilder().setVersion(1);
        for (int i = 0; i < FUNCTION_COUNT; i++) {
            builder.addRoutes(route(i, 1_000)).addServices(Service.newBuilder().setName("s" + i));
        }
        return builder.build();
    }

    private static Route route(int i, int timeout) {
        return Route.newBuilder()
                .setName("r" + i)
                .setHost("h")
                .setPrefix("/" + i + "/")
                .setService("s" + i)
                .setTimeout(timeout)
                .build();
    }

    private static Configuration withRandomChange(Configuration base, Random random) {
        int index = random.nextInt(base.getRoutesCount());
        return base.toBuilder()
                .setVersion(base.getVersion() + 1 + random.nextInt(5))
                .setRoutes(index, route(index, 1 + random.nextInt(9_000)))
                .build();
    }

    /** A scheduler and its link, which carries messages in order at a limited rate. */
    private final class Scheduler
            implements InternalEndpoint.Link, ConfigurationSubscriber.Listener {
        final PublisherPair publishers;
        final double bytesPerMs;
        final ConfigurationSubscriber subscriber = new ConfigurationSubscriber(this);
        ConfigurationPublisher.Subscription subscription;
        int connectionNumber;
        double linkFreeAt;
        int pendingPushes;
        int maxPendingPushes;
        long bytesSent;
        int pushCount;
        long version;
        double appliedAt;

        Scheduler(PublisherPair publishers, double bytesPerMs) {
            this.publishers = publishers;
            this.bytesPerMs = bytesPerMs;
        }

        void connect() {
            disconnect();
            subscription = publishers.leader().subscribe("s", this, version);
        }

        void disconnect() {
            connectionNumber++;
            pendingPushes = 0;
            linkFreeAt = 0;
            if (subscription != null) {
                publishers.members.forEach(member -> member.unsubscribe(subscription));
                subscription = null;
            }
        }

        @Override
        public void send(Object message) {
            byte[] frame = codec.write(message);
            pendingPushes++;
            maxPendingPushes = Math.max(maxPendingPushes, pendingPushes);
            bytesSent += frame.length;
            pushCount++;
            linkFreeAt = Math.max(linkFreeAt, publishers.loop.now()) + frame.length / bytesPerMs;
            int sentOn = connectionNumber;
            publishers.loop.schedule(
                    linkFreeAt - publishers.loop.now() + LINK_DELAY_MS,
                    () -> {
                        if (sentOn == connectionNumber) {
                            pendingPushes--;
                            receive(frame);
                        }
                    });
        }

        private void receive(byte[] frame) {
            try {
                Object message = codec.read(frame);
                if (message instanceof Messages.ConfigurationPush push) {
                    subscriber.receive(push);
                } else {
                    subscriber.receive((Messages.ConfigurationDeltaPush) message);
                }
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void onConfiguration(Configuration configuration) {
            assertTrue(configuration.getVersion() >= version, "the version went back");
            version = configuration.getVersion();
            appliedAt = publishers.loop.now();
        }

        @Override
        public void sendToLeader(Object message) {
            int sentOn = connectionNumber;
            publishers.loop.schedule(
                    LINK_DELAY_MS,
                    () -> {
                        if (sentOn == connectionNumber
                                && message instanceof Messages.ConfigurationAck ack) {
                            publishers.leader().onAcknowledgement(subscription, ack);
                        } else if (sentOn == connectionNumber) {
                            publishers.leader().onCopyRequest(subscription);
                        }
                    });
        }
    }

    private List<Scheduler> connectSchedulers(
            PublisherPair publishers, int count, double bytesPerMs) {
        List<Scheduler> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Scheduler(publishers, bytesPerMs));
        }
        publishers.commit(publishers.newest);
        all.forEach(Scheduler::connect);
        publishers.loop.run(APPLY_TIMEOUT_MS);
        all.forEach(scheduler -> assertEquals(scheduler.version, publishers.newest.getVersion()));
        return all;
    }

    private static void assertAllApplied(
            PublisherPair publishers, List<Scheduler> schedulers, String context) {
        for (Scheduler scheduler : schedulers) {
            assertEquals(scheduler.version, publishers.newest.getVersion(), context);
            assertEquals(
                    ConfigurationChecksum.of(scheduler.subscriber.configuration()),
                    ConfigurationChecksum.of(publishers.newest),
                    context);
        }
    }

    /** 25 changes in 2 s, over links that take a third of a second for one complete copy. */
    @Test
    public void burstOfChangesNeedsFewSmallPushes() {
        PublisherPair publishers = new PublisherPair();
        double bytesPerMs = publishers.newest.toByteArray().length / 333.0;
        List<Scheduler> all = connectSchedulers(publishers, 5, bytesPerMs);
        long copyBytes = all.get(0).bytesSent;
        Random random = new Random(1);
        for (int i = 0; i < 25; i++) {
            publishers.commit(withRandomChange(publishers.newest, random));
            publishers.loop.run(80);
        }
        double lastCommitAt = publishers.loop.now();
        publishers.loop.run(APPLY_TIMEOUT_MS);
        assertAllApplied(publishers, all, "after the burst");
        for (Scheduler scheduler : all) {
            assertTrue(
                    scheduler.appliedAt - lastCommitAt < APPLY_TIMEOUT_MS / 4,
                    "in force after " + (scheduler.appliedAt - lastCommitAt));
            assertTrue(
                    scheduler.bytesSent - copyBytes < copyBytes,
                    "the burst took " + (scheduler.bytesSent - copyBytes) + " bytes");
            assertTrue(scheduler.pushCount <= 13, scheduler.pushCount + " pushes");
        }
    }

    /** A change that follows no other is pushed without the batch delay. */
    @Test
    public void singleChangeIsPushedAtOnce() {
        PublisherPair publishers = new PublisherPair();
        List<Scheduler> all = connectSchedulers(publishers, 2, 1_000);
        double committedAt = publishers.loop.now();
        publishers.commit(withRandomChange(publishers.newest, new Random(4)));
        publishers.loop.run(HEARTBEAT_MS);
        assertAllApplied(publishers, all, "after one change");
        assertTrue(
                all.get(0).appliedAt - committedAt < 2 * LINK_DELAY_MS,
                "in force after " + (all.get(0).appliedAt - committedAt));
    }

    /**
     * A very slow link holds at most one push and does not delay the pushes to other schedulers.
     */
    @Test
    public void slowSchedulerDoesNotDelayOthers() {
        PublisherPair publishers = new PublisherPair();
        List<Scheduler> all = connectSchedulers(publishers, 3, 1_000);
        Scheduler slow = new Scheduler(publishers, 0.01);
        slow.connect();
        Random random = new Random(2);
        for (int i = 0; i < 1_000; i++) {
            publishers.commit(withRandomChange(publishers.newest, random));
            publishers.loop.run(10);
        }
        publishers.loop.run(APPLY_TIMEOUT_MS);
        assertAllApplied(publishers, all, "with a slow scheduler");
        assertEquals(slow.maxPendingPushes, 1, "pushes queued on its link");
    }

    /**
     * A scheduler that missed up to 100 versions gets a delta; one that missed more gets a complete
     * copy.
     */
    @Test
    public void reconnectedSchedulerCatchesUp() {
        for (int missedVersions : new int[] {1, 100, 500}) {
            PublisherPair publishers = new PublisherPair();
            List<Scheduler> all = connectSchedulers(publishers, 1, 100);
            Scheduler disconnected = all.get(0);
            disconnected.disconnect();
            Random random = new Random(missedVersions);
            for (int i = 0; i < missedVersions; i++) {
                publishers.commit(withRandomChange(publishers.newest, random));
            }
            long bytesBefore = disconnected.bytesSent;
            disconnected.connect();
            publishers.loop.run(APPLY_TIMEOUT_MS);
            assertAllApplied(publishers, all, "missed versions: " + missedVersions);
            long copyBytes = publishers.newest.toByteArray().length;
            assertTrue(
                    disconnected.bytesSent - bytesBefore <= copyBytes + 50,
                    "caught up by at most one push");
        }
    }

    /**
     * A copy that was damaged in memory is detected by the checksum that its scheduler reports, or
     * when the next delta cannot be applied.
     */
    @Test
    public void divergedCopyIsSentAgain() {
        PublisherPair publishers = new PublisherPair();
        List<Scheduler> all = connectSchedulers(publishers, 1, 100);
        Scheduler scheduler = all.get(0);
        publishers.loop.run(2 * HEARTBEAT_MS);
        publishers
                .leader()
                .onAcknowledgement(
                        scheduler.subscription,
                        new Messages.ConfigurationAck(scheduler.version, 7));
        assertEquals(scheduler.pushCount, 2);
        publishers.loop.run(HEARTBEAT_MS);
        publishers.leader().onCopyRequest(scheduler.subscription);
        assertEquals(scheduler.pushCount, 3);
        publishers.loop.run(APPLY_TIMEOUT_MS);
        assertAllApplied(publishers, all, "sent again");
    }

    /** Changes, lost links and leader changes in random order. */
    @Test
    public void allConvergeDespiteLostLinksAndLeaderChanges() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            PublisherPair publishers = new PublisherPair();
            List<Scheduler> all = connectSchedulers(publishers, 4, 5 + random.nextInt(200));
            for (int step = 0; step < 60; step++) {
                Scheduler scheduler = all.get(random.nextInt(all.size()));
                switch (random.nextInt(8)) {
                    case 0 -> scheduler.disconnect();
                    case 1 -> scheduler.connect();
                    case 2 -> changeLeader(publishers, all);
                    default -> publishers.commit(withRandomChange(publishers.newest, random));
                }
                publishers.loop.run(random.nextInt(200));
            }
            all.stream()
                    .filter(scheduler -> scheduler.subscription == null)
                    .forEach(Scheduler::connect);
            publishers.loop.run(APPLY_TIMEOUT_MS);
            assertAllApplied(publishers, all, "seed " + seed);
            for (Scheduler scheduler : all) {
                assertEquals(
                        scheduler.maxPendingPushes,
                        1,
                        "seed " + seed + ": pushes queued on a link");
            }
        }
    }

    private static void changeLeader(PublisherPair publishers, List<Scheduler> all) {
        all.forEach(Scheduler::disconnect);
        publishers.leader().clear();
        publishers.leader = 1 - publishers.leader;
        all.forEach(Scheduler::connect);
    }
}
