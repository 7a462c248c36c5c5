package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Frames;
import gingerspool.wire.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The endpoint to which the other processes of the system, members and schedulers, open their
 * links. Decodes messages and passes them to its handler. Runs on the event loop of its {@link
 * ControlNode}.
 */
final class InternalEndpoint implements Frames.Owner, Listener.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(InternalEndpoint.class);
    private static final int MAX_LINKS = 1024;

    /** Receives the messages of the links; called on the event loop. */
    interface LinkHandler {
        void received(Link link, Object message);

        void closed(Link link);
    }

    /** A link that another process opened to this node. */
    interface Link {
        void send(Object message);

        /** Sends a message that goes to several links. */
        default void send(SharedMessage message) {
            send(message.message());
        }
    }

    /** An accepted link and the time of its last message, in milliseconds. */
    private final class AcceptedLink implements Link {
        private final Frames frames;
        private double lastReceivedAt = loop.now();

        AcceptedLink(Frames frames) {
            this.frames = frames;
        }

        @Override
        public void send(Object message) {
            frames.send(codec.write(message));
        }

        @Override
        public void send(SharedMessage message) {
            frames.sendFrame(message.frame(codec));
        }
    }

    private final EventLoop loop;
    private final NodeSettings settings;
    private final KryoCodec codec;
    private final LinkHandler linkHandler;
    private final Listener listener;
    private final Map<Frames, AcceptedLink> links = new LinkedHashMap<>();

    InternalEndpoint(
            EventLoop loop, NodeSettings settings, KryoCodec codec, LinkHandler linkHandler)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.codec = codec;
        this.linkHandler = linkHandler;
        listener =
                new Listener(loop, new InetSocketAddress(settings.ip, settings.internalPort), this);
    }

    void start() {
        listener.acceptOn();
    }

    void closeSilentLinks() {
        for (Map.Entry<Frames, AcceptedLink> entry : List.copyOf(links.entrySet())) {
            if (loop.now()
                    > entry.getValue().lastReceivedAt
                            + PeerLinks.SILENCE_TIMEOUT_HEARTBEATS * settings.heartbeatInterval) {
                entry.getKey().close();
            }
        }
    }

    void sendToAll(Object message) {
        byte[] frame = Frames.frame(codec.write(message));
        links.keySet().forEach(frames -> frames.sendFrame(frame));
    }

    @Override
    public boolean hasRoom() {
        return links.size() < MAX_LINKS;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        Frames frames = Frames.accepted(loop, channel, this);
        links.put(frames, new AcceptedLink(frames));
    }

    @Override
    public void came(Frames frames, byte[] frame) {
        AcceptedLink link = links.get(frames);
        if (link == null) {
            return;
        }
        try {
            Object message = codec.read(frame);
            link.lastReceivedAt = loop.now();
            linkHandler.received(link, message);
        } catch (MalformedMessageException e) {
            LOG.warn("link.bad_message why=\"{}\"", e.getMessage());
            frames.close();
        }
    }

    @Override
    public void closed(Frames frames) {
        AcceptedLink link = links.remove(frames);
        if (link != null) {
            linkHandler.closed(link);
        }
        listener.acceptOn();
    }
}
