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

/**
 * Messages of a previous leader, or for a previous registration, must not be taken for those of the
 * current one.
 */
public class ControlLinksTest {
    private static final double HEARTBEAT_MS = 1000;
    private static final List<String> MEMBERS = List.of("10.0.0.1", "10.0.0.2");
    private ModelNetwork network;
    private ControlLinks links;
    private List<Object> received;
    private ControlNode firstNode;
    private ControlNode secondNode;

    /** A simulated control node that uses the latest link of the scheduler. */
    private final class ControlNode implements ModelNetwork.Acceptor {
        private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
        ModelNetwork.Channel channel;
        int acceptedConnections;
        int receivedRegistrations;

        @Override
        public ModelNetwork.Remote accept(ModelNetwork.Channel accepted) {
            channel = accepted;
            acceptedConnections++;
            return new ModelNetwork.Remote() {
                private ByteBuffer unparsed = ByteBuffer.allocate(0);

                @Override
                public void received(byte[] bytes) {
                    ByteBuffer combined = ByteBuffer.allocate(unparsed.remaining() + bytes.length);
                    unparsed = combined.put(unparsed).put(bytes).flip();
                    while (unparsed.remaining() >= 4
                            && unparsed.remaining() >= 4 + unparsed.getInt(unparsed.position())) {
                        byte[] frame = new byte[unparsed.getInt()];
                        unparsed.get(frame);
                        try {
                            receivedRegistrations +=
                                    codec.read(frame) instanceof Messages.Register ? 1 : 0;
                        } catch (gingerspool.codec.MalformedMessageException e) {
                            throw new IllegalStateException(e);
                        }
                    }
                }

                @Override
                public void closed() {}
            };
        }

        void send(Object message) {
            byte[] bytes = codec.write(message);
            channel.send(
                    ByteBuffer.allocate(4 + bytes.length).putInt(bytes.length).put(bytes).array());
        }

        void announce(long term, String leader) {
            send(new Messages.LeaderAnnouncement(term, leader, MEMBERS));
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
        firstNode = startNode(MEMBERS.get(0));
        secondNode = startNode(MEMBERS.get(1));
        links =
                new ControlLinks(
                        network,
                        NodeSettings.read(file),
                        () -> new Messages.Register("front-1", "a", 1, Map.of()),
                        received::add);
        network.execute(links::start);
        run(50);
        firstNode.announce(5, "10.0.0.1");
        run(20);
        firstNode.send(new Messages.Registered(5));
        run(20);
        assertTrue(links.hasLeader());
        received.clear();
    }

    private ControlNode startNode(String ip) {
        ControlNode node = new ControlNode();
        network.listen(new InetSocketAddress(ip, 7400), node);
        return node;
    }

    private void run(double duration) {
        network.runUntil(network.now() + duration);
        assertEquals(network.violation(), null);
    }

    private static Messages.SlotRecall recall(int slots) {
        return new Messages.SlotRecall("f", slots);
    }

    @Test
    public void messagesBetweenAnnouncementAndRegistrationAreIgnored() {
        secondNode.announce(6, "10.0.0.2");
        run(20);
        assertFalse(links.hasLeader());
        secondNode.send(recall(1));
        firstNode.send(recall(2));
        run(20);
        assertEquals(received.toString(), "[]");
        secondNode.send(new Messages.Registered(6));
        secondNode.send(recall(3));
        run(20);
        assertEquals(received, List.of(new Messages.Registered(6), recall(3)));
    }

    @Test
    public void aDeposedLeaderIsNotFollowedOnceAnotherNodeAnnouncesANewerTerm() {
        secondNode.announce(6, "10.0.0.3");
        firstNode.send(recall(1));
        run(20);
        firstNode.send(recall(2));
        run(20);
        assertFalse(received.contains(recall(2)), "the leader of term 5 was deposed");
        assertFalse(links.hasLeader());
    }

    /**
     * The leader may have answered the first registration, whose slot counts must not be mixed with
     * those of the second.
     */
    @Test
    public void aRegistrationIsRepeatedOnlyOnANewLink() {
        secondNode.announce(6, "10.0.0.2");
        run(20);
        ModelNetwork.Channel previousChannel = secondNode.channel;
        for (int i = 0; i < 4; i++) {
            run(0.5 * HEARTBEAT_MS);
            secondNode.announce(6, "10.0.0.2");
        }
        run(0.5 * HEARTBEAT_MS);
        assertTrue(secondNode.receivedRegistrations > 1, "the registration is repeated");
        assertTrue(secondNode.channel != previousChannel, "on a new link");
        assertTrue(
                secondNode.receivedRegistrations <= secondNode.acceptedConnections,
                "at most one registration for each link");
    }

    @Test
    public void anAnnouncementOfAnOlderTermIsIgnored() {
        secondNode.announce(4, "10.0.0.2");
        run(20);
        assertTrue(links.hasLeader());
        assertEquals(secondNode.receivedRegistrations, 0);
    }
}
