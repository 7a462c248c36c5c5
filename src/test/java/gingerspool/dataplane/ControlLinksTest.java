package gingerspool.dataplane;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.settings.NodeSettings;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Messages of an old leader, or of an old registration, are not taken for the new one's. */
public class ControlLinksTest {
    private static final double BEAT = 1000;
    private static final List<String> MEMBERS = List.of("10.0.0.1", "10.0.0.2");
    private ModelNetwork network;
    private ControlLinks links;
    private List<Object> received;
    private Member first;
    private Member second;

    /** A member of the core, as far as a scheduler sees it: the newest link counts. */
    private final class Member implements ModelNetwork.Acceptor {
        private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
        ModelNetwork.Channel channel;
        int accepted;
        int registrations;

        @Override
        public ModelNetwork.Remote accept(ModelNetwork.Channel by) {
            channel = by;
            accepted++;
            return new ModelNetwork.Remote() {
                private ByteBuffer held = ByteBuffer.allocate(0);

                @Override
                public void received(byte[] bytes) {
                    ByteBuffer all = ByteBuffer.allocate(held.remaining() + bytes.length);
                    held = all.put(held).put(bytes).flip();
                    while (held.remaining() >= 4
                            && held.remaining() >= 4 + held.getInt(held.position())) {
                        byte[] frame = new byte[held.getInt()];
                        held.get(frame);
                        try {
                            registrations += codec.read(frame) instanceof Messages.Register ? 1 : 0;
                        } catch (gingerspool.codec.MalformedMessageException e) {
                            throw new IllegalStateException(e);
                        }
                    }
                }

                @Override
                public void closed() {}
            };
        }

        void say(Object message) {
            byte[] bytes = codec.write(message);
            channel.send(
                    ByteBuffer.allocate(4 + bytes.length).putInt(bytes.length).put(bytes).array());
        }

        void announces(long term, String leader) {
            say(new Messages.LeaderAnnouncement(term, leader, MEMBERS));
        }
    }

    @BeforeMethod
    public void open() throws Exception {
        Path file = Files.createTempFile("front", ".toml");
        Files.writeString(
                file,
                """
            NodeName = "front-1"
            IpAddress = "10.0.1.1"
            Zone = "a"
            InternalPortRange = [7400,7401]
            HeartbeatIntervalMs = 1000
            SeedNodes = ["10.0.0.1:1","10.0.0.2:1"]
            [Zones]
            a = "r"
            """);
        network = new ModelNetwork(1, Set.of());
        received = new ArrayList<>();
        first = member(MEMBERS.get(0));
        second = member(MEMBERS.get(1));
        links =
                new ControlLinks(
                        network,
                        NodeSettings.read(file),
                        () -> new Messages.Register("front-1", "a", 1, Map.of()),
                        received::add);
        network.execute(links::start);
        run(50);
        first.announces(5, "10.0.0.1");
        run(20);
        first.say(new Messages.Registered(5));
        run(20);
        assertTrue(links.hasLeader());
        received.clear();
    }

    private Member member(String ip) {
        Member made = new Member();
        network.listen(new InetSocketAddress(ip, 7400), made);
        return made;
    }

    private void run(double span) {
        network.run(network.now() + span);
        assertEquals(network.fault(), null);
    }

    private static Messages.SlotRecall recall(int slots) {
        return new Messages.SlotRecall("f", slots);
    }

    @Test
    public void nothingCountsBetweenAnAnnouncementAndTheRegistration() {
        second.announces(6, "10.0.0.2");
        run(20);
        assertFalse(links.hasLeader());
        second.say(recall(1));
        first.say(recall(2));
        run(20);
        assertEquals(received.toString(), "[]");
        second.say(new Messages.Registered(6));
        second.say(recall(3));
        run(20);
        assertEquals(received, List.of(new Messages.Registered(6), recall(3)));
    }

    @Test
    public void whoIsNoLongerLeaderByAnothersWordIsNotFollowed() {
        second.announces(6, "10.0.0.3");
        first.say(recall(1));
        run(20);
        first.say(recall(2));
        run(20);
        assertFalse(received.contains(recall(2)), "the leader of term 5 was deposed");
        assertFalse(links.hasLeader());
    }

    /** The leader may have answered the first registration: its counts must not mix with these. */
    @Test
    public void aRegistrationIsSaidAgainOnANewLinkOnly() {
        second.announces(6, "10.0.0.2");
        run(20);
        ModelNetwork.Channel old = second.channel;
        for (int i = 0; i < 4; i++) {
            run(0.5 * BEAT);
            second.announces(6, "10.0.0.2");
        }
        run(0.5 * BEAT);
        assertTrue(second.registrations > 1, "it asks again");
        assertTrue(second.channel != old, "on a new link");
        assertTrue(
                second.registrations <= second.accepted, "one registration for each link at most");
    }

    @Test
    public void anAnnouncementOfAnOlderTermChangesNothing() {
        second.announces(4, "10.0.0.2");
        run(20);
        assertTrue(links.hasLeader());
        assertEquals(second.registrations, 0);
    }
}
