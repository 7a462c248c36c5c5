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
    private static final double HEARTBEAT = 1_000;
    private static final double APPLY_WITHIN = 3_000;
    private static final double LINK_MS = 12;
    private static final int FUNCTIONS = 100;

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);

    /** Two publishers, as two members of the core have them; one of them leads. */
    private final class Core {
        final ModelEventLoop loop = new ModelEventLoop();
        final List<ConfigurationPublisher> members =
                List.of(
                        new ConfigurationPublisher(loop, HEARTBEAT, APPLY_WITHIN),
                        new ConfigurationPublisher(loop, HEARTBEAT, APPLY_WITHIN));
        int leader;
        Configuration newest = first();

        void commit(Configuration configuration) {
            newest = configuration;
            members.forEach(member -> member.configured(configuration));
        }

        ConfigurationPublisher leader() {
            return members.get(leader);
        }
    }

    private static Configuration first() {
        Configuration.Builder all = Configuration.newBuilder().setVersion(1);
        for (int i = 0; i < FUNCTIONS; i++) {
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

    private static Configuration changed(Configuration base, Random chance) {
        int at = chance.nextInt(base.getRoutesCount());
        return base.toBuilder()
                .setVersion(base.getVersion() + 1 + chance.nextInt(5))
                .setRoutes(at, route(at, 1 + chance.nextInt(9_000)))
                .build();
    }

    /** A scheduler and its link, which carries so many bytes a millisecond, in order. */
    private final class Scheduler
            implements InternalEndpoint.Link, ConfigurationSubscriber.Listener {
        final Core core;
        final double bytesPerMs;
        final ConfigurationSubscriber subscriber = new ConfigurationSubscriber(this);
        ConfigurationPublisher.Subscription subscription;
        int connection;
        double linkFreeAt;
        int waiting;
        int mostWaiting;
        long bytes;
        int pushes;
        long version;
        double since;

        Scheduler(Core core, double bytesPerMs) {
            this.core = core;
            this.bytesPerMs = bytesPerMs;
        }

        void connect() {
            disconnect();
            subscription = core.leader().subscribe("s", this, version);
        }

        void disconnect() {
            connection++;
            waiting = 0;
            linkFreeAt = 0;
            if (subscription != null) {
                core.members.forEach(member -> member.unsubscribe(subscription));
                subscription = null;
            }
        }

        @Override
        public void send(Object message) {
            byte[] frame = codec.write(message);
            waiting++;
            mostWaiting = Math.max(mostWaiting, waiting);
            bytes += frame.length;
            pushes++;
            linkFreeAt = Math.max(linkFreeAt, core.loop.now()) + frame.length / bytesPerMs;
            int on = connection;
            core.loop.schedule(
                    linkFreeAt - core.loop.now() + LINK_MS,
                    () -> {
                        if (on == connection) {
                            waiting--;
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
            since = core.loop.now();
        }

        @Override
        public void sendToLeader(Object message) {
            int on = connection;
            core.loop.schedule(
                    LINK_MS,
                    () -> {
                        if (on == connection && message instanceof Messages.ConfigurationAck ack) {
                            core.leader().acknowledged(subscription, ack);
                        } else if (on == connection) {
                            core.leader().copyRequested(subscription);
                        }
                    });
        }
    }

    private List<Scheduler> schedulers(Core core, int count, double bytesPerMs) {
        List<Scheduler> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Scheduler(core, bytesPerMs));
        }
        core.commit(core.newest);
        all.forEach(Scheduler::connect);
        core.loop.run(APPLY_WITHIN);
        all.forEach(s -> assertEquals(s.version, core.newest.getVersion()));
        return all;
    }

    private static void assertInForce(Core core, List<Scheduler> schedulers, String what) {
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
    public void aStormIsToldByFewSmallPushes() {
        Core core = new Core();
        double slow = core.newest.toByteArray().length / 333.0;
        List<Scheduler> all = schedulers(core, 5, slow);
        long copy = all.get(0).bytes;
        Random chance = new Random(1);
        for (int i = 0; i < 25; i++) {
            core.commit(changed(core.newest, chance));
            core.loop.run(80);
        }
        double last = core.loop.now();
        core.loop.run(APPLY_WITHIN);
        assertInForce(core, all, "after the storm");
        for (Scheduler s : all) {
            assertTrue(s.since - last < APPLY_WITHIN / 4, "in force after " + (s.since - last));
            assertTrue(s.bytes - copy < copy, "a storm cost " + (s.bytes - copy) + " bytes");
            assertTrue(s.pushes <= 13, s.pushes + " pushes");
        }
    }

    /** A single change is told at once. */
    @Test
    public void aSingleChangeDoesNotWait() {
        Core core = new Core();
        List<Scheduler> all = schedulers(core, 2, 1_000);
        double at = core.loop.now();
        core.commit(changed(core.newest, new Random(4)));
        core.loop.run(HEARTBEAT);
        assertInForce(core, all, "after one change");
        assertTrue(all.get(0).since - at < 2 * LINK_MS, "told after " + (all.get(0).since - at));
    }

    /** A link that hardly carries anything holds one push, and holds up nobody else. */
    @Test
    public void aSlowSchedulerHoldsUpNobody() {
        Core core = new Core();
        List<Scheduler> all = schedulers(core, 3, 1_000);
        Scheduler slow = new Scheduler(core, 0.01);
        slow.connect();
        Random chance = new Random(2);
        for (int i = 0; i < 1_000; i++) {
            core.commit(changed(core.newest, chance));
            core.loop.run(10);
        }
        core.loop.run(APPLY_WITHIN);
        assertInForce(core, all, "beside a slow one");
        assertEquals(slow.mostWaiting, 1, "pushes that wait in its link");
    }

    /** One that was away for a hundred versions goes on by a delta, for more by a copy. */
    @Test
    public void whoMissedVersionsIsBroughtUp() {
        for (int missed : new int[] {1, 100, 500}) {
            Core core = new Core();
            List<Scheduler> all = schedulers(core, 1, 100);
            Scheduler away = all.get(0);
            away.disconnect();
            Random chance = new Random(missed);
            for (int i = 0; i < missed; i++) {
                core.commit(changed(core.newest, chance));
            }
            long before = away.bytes;
            away.connect();
            core.loop.run(APPLY_WITHIN);
            assertInForce(core, all, "away for " + missed);
            long copy = core.newest.toByteArray().length;
            assertTrue(away.bytes - before <= copy + 50, "brought up by one push at the most");
        }
    }

    /** A copy that was damaged in memory is found by its report, or by the next delta. */
    @Test
    public void aCopyThatDiffersIsSentAgain() {
        Core core = new Core();
        List<Scheduler> all = schedulers(core, 1, 100);
        Scheduler scheduler = all.get(0);
        core.loop.run(2 * HEARTBEAT);
        core.leader()
                .acknowledged(
                        scheduler.subscription,
                        new Messages.ConfigurationAck(scheduler.version, 7));
        assertEquals(scheduler.pushes, 2);
        core.loop.run(HEARTBEAT);
        core.leader().copyRequested(scheduler.subscription);
        assertEquals(scheduler.pushes, 3);
        core.loop.run(APPLY_WITHIN);
        assertInForce(core, all, "sent again");
    }

    /** Changes, lost links and new leaders in any order. */
    @Test
    public void whateverIsLostAllComeToTheNewestVersion() {
        for (int seed = 0; seed < 200; seed++) {
            Random chance = new Random(seed);
            Core core = new Core();
            List<Scheduler> all = schedulers(core, 4, 5 + chance.nextInt(200));
            for (int step = 0; step < 60; step++) {
                Scheduler one = all.get(chance.nextInt(all.size()));
                switch (chance.nextInt(8)) {
                    case 0 -> one.disconnect();
                    case 1 -> one.connect();
                    case 2 -> changeLeader(core, all);
                    default -> core.commit(changed(core.newest, chance));
                }
                core.loop.run(chance.nextInt(200));
            }
            all.stream().filter(s -> s.subscription == null).forEach(Scheduler::connect);
            core.loop.run(APPLY_WITHIN);
            assertInForce(core, all, "seed " + seed);
            for (Scheduler s : all) {
                assertEquals(s.mostWaiting, 1, "seed " + seed + ": pushes that wait in a link");
            }
        }
    }

    private static void changeLeader(Core core, List<Scheduler> all) {
        all.forEach(Scheduler::disconnect);
        core.leader().clear();
        core.leader = 1 - core.leader;
        all.forEach(Scheduler::connect);
    }
}
