package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.Messages;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Frames;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Our own links to the other members of the core, by the address of their machines. Only we send on
 * them; what a peer says comes on the link that it opened itself.
 */
final class PeerLinks implements Frames.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);

    /** In heartbeat intervals: silence after which a link is given up. */
    static final double SILENCE_TIMEOUT_HEARTBEATS = 1.5;

    /** In heartbeat intervals: how long connecting may take. */
    private static final double CONNECT_TIMEOUT_HEARTBEATS = 0.25;

    /** In heartbeat intervals: the pause between two attempts to connect. */
    private static final double RETRY_DELAY_HEARTBEATS = 0.125;

    /** In heartbeat intervals: how long a link is kept to one that is wanted no more. */
    private static final double UNNEEDED_TIMEOUT_HEARTBEATS = 4;

    private final EventLoop loop;
    private final NodeSettings settings;
    private final KryoCodec codec;
    private final Map<String, Peer> peers = new HashMap<>();

    private static final class Peer {
        Frames link;
        boolean isUp;
        double connectAttemptedAt = Double.NEGATIVE_INFINITY;
        double lastReceivedAt;
    }

    PeerLinks(EventLoop loop, NodeSettings settings, KryoCodec codec) {
        this.loop = loop;
        this.settings = settings;
        this.codec = codec;
    }

    /** Opens links that lack, and closes those that are silent or not neededIps. */
    void maintain(Set<String> neededIps) {
        double now = loop.now();
        neededIps.forEach(this::connect);
        for (Map.Entry<String, Peer> entry : List.copyOf(peers.entrySet())) {
            Peer peer = entry.getValue();
            // Guards against links that a cut has left half dead: a new one works as soon as the
            // cut ends.
            boolean isSilent =
                    peer.isUp
                            && now
                                    > Math.max(peer.lastReceivedAt, peer.connectAttemptedAt)
                                            + SILENCE_TIMEOUT_HEARTBEATS
                                                    * settings.heartbeatInterval;
            boolean isUnneeded =
                    !neededIps.contains(entry.getKey())
                            && now
                                    > peer.lastReceivedAt
                                            + UNNEEDED_TIMEOUT_HEARTBEATS
                                                    * settings.heartbeatInterval;
            if (peer.link != null && (isSilent || isUnneeded)) {
                peer.link.close();
            }
        }
    }

    private void connect(String ip) {
        double now = loop.now();
        Peer peer = peers.computeIfAbsent(ip, key -> new Peer());
        if (peer.link == null
                && now
                        >= peer.connectAttemptedAt
                                + RETRY_DELAY_HEARTBEATS * settings.heartbeatInterval) {
            peer.connectAttemptedAt = now;
            try {
                peer.link =
                        Frames.open(
                                loop,
                                new InetSocketAddress(ip, settings.internalPort),
                                CONNECT_TIMEOUT_HEARTBEATS * settings.heartbeatInterval,
                                this);
            } catch (IOException e) {
                LOG.warn("link.failed to={} why=\"{}\"", ip, e.getMessage());
            }
        }
    }

    /** A member's message came; an answer to it needs a link. */
    void onMemberMessage(String ip) {
        peers.computeIfAbsent(ip, key -> new Peer()).lastReceivedAt = loop.now();
    }

    void connectBack(String ip) {
        connect(ip);
    }

    /** A heartbeat came; false where none of the peers sent it. */
    boolean onHeartbeat(String ip) {
        Peer peer = peers.get(ip);
        if (peer != null) {
            peer.lastReceivedAt = loop.now();
        }
        return peer != null;
    }

    /** Sends, where there is a link. */
    void send(String ip, Object message) {
        Peer peer = peers.get(ip);
        if (peer != null && peer.isUp) {
            peer.link.send(codec.write(message));
        }
    }

    void sendHeartbeats() {
        byte[] heartbeat = codec.write(new Messages.Heartbeat(settings.ip));
        peers.values().stream()
                .filter(peer -> peer.isUp)
                .forEach(peer -> peer.link.send(heartbeat));
    }

    @Override
    public void up(Frames link) {
        peers.values().forEach(peer -> peer.isUp |= peer.link == link);
    }

    @Override
    public void came(Frames link, byte[] frame) {
        // Announcements that are made to all who called: a member knows who leads by itself.
    }

    @Override
    public void closed(Frames link) {
        for (Peer peer : peers.values()) {
            if (peer.link == link) {
                peer.link = null;
                peer.isUp = false;
            }
        }
    }
}
