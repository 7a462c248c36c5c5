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
 * Two members that lead by turns, schedulers on slow links, and operators in a hurry, by seed:
 * every scheduler comes to the newest version in time, never back, and no link holds more than one
 * push.
 */
public class ConfigurationPublishingTest {
    private static final double HEARTBEAT_MS = 1_000;
    private static final double APPLY_TIMEOUT_MS = 3_000;
    private static final double LINK_MS = 12;
    private static final int FUNCTION_COUNT = 100;

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);

    /** Two publishers, as two members of the core have them; one of them leads. */
    private final class CoreOfTwo {
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
        Configuration.Builder all = Configuration.newBuilder().setVersion(1);
        for (int i = 0; i < FUNCTION_COUNT; i++) {
            all.addRoutes(route(i, 1_000)).addServices(Service.newBuilder().setName("s" + i));
        }
        return all.build();
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

    private static Configuration withRandomChange(Configuration base, Random chance) {
        int at = chance.nextInt(base.getRoutesCount());
        return base.toBuilder()
                .setVersion(base.getVersion() + 1 + chance.nextInt(5))
                .setRoutes(at, route(at, 1 + chance.nextInt(9_000)))
                .build();
    }

    /** A scheduler and its link, which carries so many bytes a millisecond, in order. */
    private final class Scheduler
            implements InternalEndpoint.Link, ConfigurationSubscriber.Listener {
        final CoreOfTwo core;
        final double bytesPerMs;
        final ConfigurationSubscriber subscriber = new ConfigurationSubscriber(this);
        ConfigurationPublisher.Subscription subscription;
        int connectionNumber;
        double linkFreeAt;
        int pendingPushes;
        int maxPendingPushes;
        long bytesReceived;
        int pushCount;
        long version;
        double appliedAt;

        Scheduler(CoreOfTwo core, double bytesPerMs) {
            this.core = core;
            this.bytesPerMs = bytesPerMs;
        }

        void connect() {
            disconnect();
            subscription = core.leader().subscribe("s", this, version);
        }

        void disconnect() {
            connectionNumber++;
            pendingPushes = 0;
            linkFreeAt = 0;
            if (subscription != null) {
                core.members.forEach(member -> member.unsubscribe(subscription));
                subscription = null;
            }
        }

        @Override
        public void send(Object message) {
            byte[] frame = codec.write(message);
            pendingPushes++;
            maxPendingPushes = Math.max(maxPendingPushes, pendingPushes);
            bytesReceived += frame.length;
            pushCount++;
            linkFreeAt = Math.max(linkFreeAt, core.loop.now()) + frame.length / bytesPerMs;
            int on = connectionNumber;
            core.loop.schedule(
                    linkFreeAt - core.loop.now() + LINK_MS,
                    () -> {
                        if (on == connectionNumber) {
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
            assertTrue(configuration.getVersion() >= version, "it went back");
            version = configuration.getVersion();
            appliedAt = core.loop.now();
        }

        @Override
        public void sendToLeader(Object message) {
            int on = connectionNumber;
            core.loop.schedule(
                    LINK_MS,
                    () -> {
                        if (on == connectionNumber
                                && message instanceof Messages.ConfigurationAck ack) {
                            core.leader().onAcknowledgement(subscription, ack);
                        } else if (on == connectionNumber) {
                            core.leader().onCopyRequest(subscription);
                        }
                    });
        }
    }

    private List<Scheduler> connectSchedulers(CoreOfTwo core, int count, double bytesPerMs) {
        List<Scheduler> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Scheduler(core, bytesPerMs));
        }
        core.commit(core.newest);
        all.forEach(Scheduler::connect);
        core.loop.run(APPLY_TIMEOUT_MS);
        all.forEach(s -> assertEquals(s.version, core.newest.getVersion()));
        return all;
    }

    private static void assertAllApplied(CoreOfTwo core, List<Scheduler> schedulers, String what) {
        for (Scheduler s : schedulers) {
            assertEquals(s.version, core.newest.getVersion(), what);
            assertEquals(
                    ConfigurationChecksum.of(s.subscriber.configuration()),
                    ConfigurationChecksum.of(core.newest),
                    what);
        }
    }

    /** Twenty-five changes in two seconds, over links that carry one complete copy in a third. */
    @Test
    public void burstOfChangesNeedsFewSmallPushes() {
        CoreOfTwo core = new CoreOfTwo();
        double slow = core.newest.toByteArray().length / 333.0;
        List<Scheduler> all = connectSchedulers(core, 5, slow);
        long copy = all.get(0).bytesReceived;
        Random chance = new Random(1);
        for (int i = 0; i < 25; i++) {
            core.commit(withRandomChange(core.newest, chance));
            core.loop.run(80);
        }
        double last = core.loop.now();
        core.loop.run(APPLY_TIMEOUT_MS);
        assertAllApplied(core, all, "after the storm");
        for (Scheduler s : all) {
            assertTrue(
                    s.appliedAt - last < APPLY_TIMEOUT_MS / 4,
                    "in force after " + (s.appliedAt - last));
            assertTrue(
                    s.bytesReceived - copy < copy,
                    "a storm cost " + (s.bytesReceived - copy) + " bytes");
            assertTrue(s.pushCount <= 13, s.pushCount + " pushes");
        }
    }

    /** A single change is told at once. */
    @Test
    public void singleChangeIsPushedAtOnce() {
        CoreOfTwo core = new CoreOfTwo();
        List<Scheduler> all = connectSchedulers(core, 2, 1_000);
        double at = core.loop.now();
        core.commit(withRandomChange(core.newest, new Random(4)));
        core.loop.run(HEARTBEAT_MS);
        assertAllApplied(core, all, "after one change");
        assertTrue(
                all.get(0).appliedAt - at < 2 * LINK_MS,
                "told after " + (all.get(0).appliedAt - at));
    }

    /** A link that hardly carries anything holds one push, and holds up nobody else. */
    @Test
    public void slowSchedulerDoesNotDelayOthers() {
        CoreOfTwo core = new CoreOfTwo();
        List<Scheduler> all = connectSchedulers(core, 3, 1_000);
        Scheduler slow = new Scheduler(core, 0.01);
        slow.connect();
        Random chance = new Random(2);
        for (int i = 0; i < 1_000; i++) {
            core.commit(withRandomChange(core.newest, chance));
            core.loop.run(10);
        }
        core.loop.run(APPLY_TIMEOUT_MS);
        assertAllApplied(core, all, "beside a slow one");
        assertEquals(slow.maxPendingPushes, 1, "pushes that wait in its link");
    }

    /** One that was away for a hundred versions goes on by a delta, for more by a copy. */
    @Test
    public void reconnectedSchedulerCatchesUp() {
        for (int missed : new int[] {1, 100, 500}) {
            CoreOfTwo core = new CoreOfTwo();
            List<Scheduler> all = connectSchedulers(core, 1, 100);
            Scheduler away = all.get(0);
            away.disconnect();
            Random chance = new Random(missed);
            for (int i = 0; i < missed; i++) {
                core.commit(withRandomChange(core.newest, chance));
            }
            long before = away.bytesReceived;
            away.connect();
            core.loop.run(APPLY_TIMEOUT_MS);
            assertAllApplied(core, all, "away for " + missed);
            long copy = core.newest.toByteArray().length;
            assertTrue(
                    away.bytesReceived - before <= copy + 50, "brought up by one push at the most");
        }
    }

    /** A copy that was damaged in memory is found by its report, or by the next delta. */
    @Test
    public void divergedCopyIsSentAgain() {
        CoreOfTwo core = new CoreOfTwo();
        List<Scheduler> all = connectSchedulers(core, 1, 100);
        Scheduler scheduler = all.get(0);
        core.loop.run(2 * HEARTBEAT_MS);
        core.leader()
                .onAcknowledgement(
                        scheduler.subscription,
                        new Messages.ConfigurationAck(scheduler.version, 7));
        assertEquals(scheduler.pushCount, 2);
        core.loop.run(HEARTBEAT_MS);
        core.leader().onCopyRequest(scheduler.subscription);
        assertEquals(scheduler.pushCount, 3);
        core.loop.run(APPLY_TIMEOUT_MS);
        assertAllApplied(core, all, "sent again");
    }

    /** Changes, lost links and new leaders in any order. */
    @Test
    public void allConvergeDespiteLostLinksAndLeaderChanges() {
        for (int seed = 0; seed < 200; seed++) {
            Random chance = new Random(seed);
            CoreOfTwo core = new CoreOfTwo();
            List<Scheduler> all = connectSchedulers(core, 4, 5 + chance.nextInt(200));
            for (int step = 0; step < 60; step++) {
                Scheduler one = all.get(chance.nextInt(all.size()));
                switch (chance.nextInt(8)) {
                    case 0 -> one.disconnect();
                    case 1 -> one.connect();
                    case 2 -> changeLeader(core, all);
                    default -> core.commit(withRandomChange(core.newest, chance));
                }
                core.loop.run(chance.nextInt(200));
            }
            all.stream().filter(s -> s.subscription == null).forEach(Scheduler::connect);
            core.loop.run(APPLY_TIMEOUT_MS);
            assertAllApplied(core, all, "seed " + seed);
            for (Scheduler s : all) {
                assertEquals(
                        s.maxPendingPushes, 1, "seed " + seed + ": pushes that wait in a link");
            }
        }
    }

    private static void changeLeader(CoreOfTwo core, List<Scheduler> all) {
        all.forEach(Scheduler::disconnect);
        core.leader().clear();
        core.leader = 1 - core.leader;
        all.forEach(Scheduler::connect);
    }
}
