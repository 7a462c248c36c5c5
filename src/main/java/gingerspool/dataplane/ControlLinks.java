package gingerspool.dataplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Frames;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A scheduler's links to the control nodes: one to each member, though messages other than
 * heartbeats and announcements are exchanged only with the leader. Finds the leader, registers with
 * it and passes its messages on. Invariant: a registration whose answer is outstanding is not
 * repeated on the same link, only on a new one.
 *
 * <p>Created by {@link SchedulerNode}; all calls are made on its event loop.
 */
final class ControlLinks implements Frames.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(ControlLinks.class);

    /** The interval between heartbeats sent to the control nodes, in heartbeat intervals. */
    private static final double SEND_HEARTBEATS = 0.5;

    /** A link is closed after this long without any message, in heartbeat intervals. */
    private static final double SILENCE_HEARTBEATS = 1.25;

    /** The connect time-out, in heartbeat intervals. */
    private static final double CONNECT_HEARTBEATS = 0.25;

    /** The interval between attempts to connect, in heartbeat intervals. */
    private static final double RETRY_HEARTBEATS = 0.1;

    private final EventLoop loop;
    private final NodeSettings settings;
    private final Supplier<Messages.Register> registration;
    private final Consumer<Object> messageHandler;
    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
    private final Map<String, Link> links = new HashMap<>();
    private Set<String> members = new LinkedHashSet<>();
    private List<InetSocketAddress> seeds;

    /** The link to the leader that has confirmed the registration; null if there is none. */
    private Link leader;

    /** The link on which the last registration was sent; null if there is none. */
    private Link registering;

    /** When the last registration was sent, in milliseconds on the loop's clock. */
    private double registeringAt;

    /** The highest term that a member has announced. */
    private long term;

    /** When the leader was last heard from, or when these links were created. */
    private double lastLeaderAt;

    /** The link to one member. The frames are null while it is not connected or connecting. */
    private static final class Link {
        final String ip;
        Frames frames;
        boolean isUp;
        double lastReceivedAt;
        double attemptedAt = Double.NEGATIVE_INFINITY;

        /** Whether a registration was sent on it and has not been answered yet. */
        boolean isRegistrationPending;

        Link(String ip) {
            this.ip = ip;
        }
    }

    /**
     * The registration is built anew for each leader; the handler receives the leader's messages.
     */
    ControlLinks(
            EventLoop loop,
            NodeSettings settings,
            Supplier<Messages.Register> registration,
            Consumer<Object> messageHandler) {
        this.loop = loop;
        this.settings = settings;
        this.registration = registration;
        this.messageHandler = messageHandler;
        seeds = settings.seeds;
        lastLeaderAt = loop.now();
    }

    void start() {
        maintainLinks();
        sendHeartbeats();
    }

    /** Replaces the addresses at which control nodes are looked for while there is no leader. */
    void setSeeds(List<InetSocketAddress> newSeeds) {
        seeds = newSeeds;
    }

    boolean hasLeader() {
        return leader != null;
    }

    /** How long there has been no leader, in milliseconds; 0 if it was heard from recently. */
    double leaderlessFor() {
        return leader != null
                        && loop.now()
                                < leader.lastReceivedAt
                                        + settings.heartbeatInterval * SILENCE_HEARTBEATS / 2
                ? 0
                : loop.now() - lastLeaderAt;
    }

    /** Sends a message to the leader; returns false if there is no leader. */
    boolean sendToLeader(Object message) {
        if (leader == null) {
            return false;
        }
        leader.frames.send(codec.write(message));
        return true;
    }

    /**
     * Opens the links that are needed, closes silent or obsolete ones, and schedules the next
     * check.
     */
    private void maintainLinks() {
        double now = loop.now();
        if (leader != null) {
            lastLeaderAt = Math.max(lastLeaderAt, leader.lastReceivedAt);
        }
        Set<String> neededIps = new LinkedHashSet<>(members);
        if (leader == null) {
            seeds.forEach(seed -> neededIps.add(seed.getAddress().getHostAddress()));
        }
        for (String ip : neededIps) {
            Link link = links.computeIfAbsent(ip, Link::new);
            if (link.frames == null
                    && now >= link.attemptedAt + RETRY_HEARTBEATS * settings.heartbeatInterval) {
                connect(link, now);
            }
        }
        for (Link link : List.copyOf(links.values())) {
            if (link.isUp
                    && now
                            > link.lastReceivedAt
                                    + SILENCE_HEARTBEATS * settings.heartbeatInterval) {
                link.frames.close();
            } else if (!neededIps.contains(link.ip) && leader != null && link != leader) {
                if (link.frames != null) {
                    link.frames.close();
                }
                links.remove(link.ip);
            }
        }
        loop.schedule(RETRY_HEARTBEATS * settings.heartbeatInterval, this::maintainLinks);
    }

    private void connect(Link link, double now) {
        link.attemptedAt = now;
        try {
            link.frames =
                    Frames.open(
                            loop,
                            new InetSocketAddress(link.ip, settings.internalPort),
                            CONNECT_HEARTBEATS * settings.heartbeatInterval,
                            this);
        } catch (IOException e) {
            LOG.warn("core.link_failed to={} why=\"{}\"", link.ip, e.getMessage());
        }
    }

    private void sendHeartbeats() {
        byte[] heartbeat = codec.write(new Messages.Heartbeat(settings.ip));
        links.values().stream()
                .filter(link -> link.isUp)
                .forEach(link -> link.frames.send(heartbeat));
        loop.schedule(SEND_HEARTBEATS * settings.heartbeatInterval, this::sendHeartbeats);
    }

    private Link findLink(Frames frames) {
        for (Link link : links.values()) {
            if (link.frames == frames) {
                return link;
            }
        }
        return null;
    }

    @Override
    public void up(Frames frames) {
        Link link = findLink(frames);
        if (link != null) {
            link.isUp = true;
            LOG.info("core.link_up to={}", link.ip);
            link.lastReceivedAt = loop.now();
            frames.send(codec.write(new Messages.Heartbeat(settings.ip)));
        }
    }

    @Override
    public void came(Frames frames, byte[] frame) {
        Link link = findLink(frames);
        if (link == null) {
            return;
        }
        link.lastReceivedAt = loop.now();
        try {
            Object message = codec.read(frame);
            if (message instanceof Messages.LeaderAnnouncement announcement) {
                onAnnouncement(link, announcement);
            } else if (message instanceof Messages.Registered registered) {
                onRegistered(link, registered);
            } else if (link == leader) {
                messageHandler.accept(message);
            }
        } catch (MalformedMessageException e) {
            LOG.warn("core.bad_message from={} why=\"{}\"", link.ip, e.getMessage());
            frames.close();
        }
    }

    /** A member announces the leader and its term. */
    private void onAnnouncement(Link link, Messages.LeaderAnnouncement announcement) {
        if (announcement.term() < term) {
            // What an old leader announces about others is outdated, but not that it has stopped
            // leading.
            if (link == registering && !link.ip.equals(announcement.leader())) {
                forgetLeader();
            }
            return;
        }
        boolean isNewer = announcement.term() > term;
        term = announcement.term();
        members = new LinkedHashSet<>(announcement.members());
        if (link.ip.equals(announcement.leader())) {
            onLeader(link, isNewer);
        } else if (link == registering) {
            // It has stopped leading; the next leader announces itself.
            forgetLeader();
        } else if (isNewer && registering != null && !announcement.leader().isEmpty()) {
            // Guards against a deposed leader that doesn't know it yet: slots that it still grants
            // may already have been granted to another scheduler.
            forgetLeader();
        }
    }

    /**
     * Registers with this member as the leader unless that was done. While an earlier registration
     * on the link is unanswered, the link is closed instead if the term is newer or the answer
     * overdue.
     */
    private void onLeader(Link link, boolean isNewer) {
        if (link == registering && !isNewer && leader == link) {
            return;
        }
        if (!link.isRegistrationPending) {
            forgetLeader();
            register(link);
        } else if (isNewer
                || loop.now() > registeringAt + RETRY_HEARTBEATS * settings.heartbeatInterval) {
            // Guards the slot counts: the answer to the first registration would be taken for the
            // answer to the second, and grants between the two would be counted by one side only.
            link.frames.close();
        }
    }

    private void register(Link link) {
        registering = link;
        registeringAt = loop.now();
        link.isRegistrationPending = true;
        LOG.info("core.registering at={} term={}", link.ip, term);
        link.frames.send(codec.write(registration.get()));
    }

    private void onRegistered(Link link, Messages.Registered answer) {
        link.isRegistrationPending = false;
        if (link == registering && answer.term() >= term) {
            leader = link;
            LOG.info("core.registered by={} term={}", link.ip, answer.term());
            messageHandler.accept(answer);
        }
    }

    private void forgetLeader() {
        leader = null;
        registering = null;
    }

    @Override
    public void closed(Frames frames) {
        Link link = findLink(frames);
        if (link == null) {
            return;
        }
        if (link.isUp) {
            LOG.info("core.link_closed to={}", link.ip);
        }
        link.frames = null;
        link.isUp = false;
        link.isRegistrationPending = false;
        if (link == leader || link == registering) {
            forgetLeader();
        }
    }
}
