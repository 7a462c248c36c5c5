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
 * The links that this node opened to the other members of the cluster, by IP address. They carry
 * messages in one direction only: a peer sends on the link that it opened itself. Runs on the event
 * loop of its {@link ControlNode}.
 */
final class PeerLinks implements Frames.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(PeerLinks.class);

    /** Silence after which a link is closed, in heartbeat intervals. */
    static final double SILENCE_TIMEOUT_HEARTBEATS = 1.5;

    /** Timeout for connecting, in heartbeat intervals. */
    private static final double CONNECT_TIMEOUT_HEARTBEATS = 0.25;

    /** Interval between two attempts to connect, in heartbeat intervals. */
    private static final double RETRY_DELAY_HEARTBEATS = 0.125;

    /**
     * How long a link to a peer that is no longer needed is kept after its last message, in
     * heartbeat intervals.
     */
    private static final double UNNEEDED_TIMEOUT_HEARTBEATS = 4;

    private final EventLoop loop;
    private final NodeSettings settings;
    private final KryoCodec codec;
    private final Map<String, Peer> peers = new HashMap<>();

    /** A peer and the link to it, which is null while none is open. Times are in milliseconds. */
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

    /**
     * Opens missing links to the needed peers, and closes links that are silent or no longer
     * needed.
     */
    void maintain(Set<String> neededIps) {
        double now = loop.now();
        neededIps.forEach(this::connect);
        for (Map.Entry<String, Peer> entry : List.copyOf(peers.entrySet())) {
            Peer peer = entry.getValue();
            // Guards against links left half-open by a network partition: a new link works as soon
            // as the partition ends.
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

    /** Records a message of this member's replica; an unknown member becomes a peer. */
    void onMemberMessage(String ip) {
        peers.computeIfAbsent(ip, key -> new Peer()).lastReceivedAt = loop.now();
    }

    void connectBack(String ip) {
        connect(ip);
    }

    /** Records a heartbeat; returns false if the sender is not a peer. */
    boolean onHeartbeat(String ip) {
        Peer peer = peers.get(ip);
        if (peer != null) {
            peer.lastReceivedAt = loop.now();
        }
        return peer != null;
    }

    /** Sends a message if the link is up, and drops it otherwise. */
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
        // Only leader announcements arrive here; a member learns the leader from its replica.
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
