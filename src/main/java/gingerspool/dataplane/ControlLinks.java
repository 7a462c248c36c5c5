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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A scheduler's links to the core: one held to each member, words only with the one that leads. */
final class ControlLinks implements Frames.Owner {
    private static final Logger LOG = LogManager.getLogger(ControlLinks.class);

    /**
     * In heartbeat intervals: how often it is heard of us, how long silence may last, and
     * connecting.
     */
    private static final double BEAT = 0.5;

    private static final double SILENT = 1.25;
    private static final double CONNECT = 0.25;
    private static final double AGAIN = 0.1;

    private final EventLoop loop;
    private final NodeSettings settings;
    private final Supplier<Messages.Register> enrol;
    private final Consumer<Object> words;
    private final KryoCodec coder = new KryoCodec(MessageTypes.ALL);
    private final Map<String, Link> links = new HashMap<>();
    private Set<String> members = new LinkedHashSet<>();
    private List<InetSocketAddress> seeds;

    /** The link to the leader that has taken this scheduler on, and the one that was asked to. */
    private Link leader;

    private Link asked;
    private double askedAt;
    private long term;
    private double lastLed;

    private static final class Link {
        final String ip;
        Frames frames;
        boolean up;
        double heardAt;
        double triedAt = Double.NEGATIVE_INFINITY;

        /** A registration went out on it that has no answer yet. */
        boolean unanswered;

        Link(String ip) {
            this.ip = ip;
        }
    }

    /** The enrolment is made anew for each leader; words are those of the leader. */
    ControlLinks(
            EventLoop loop,
            NodeSettings settings,
            Supplier<Messages.Register> enrol,
            Consumer<Object> words) {
        this.loop = loop;
        this.settings = settings;
        this.enrol = enrol;
        this.words = words;
        seeds = settings.seeds;
        lastLed = loop.now();
    }

    void begin() {
        look();
        beat();
    }

    /** Where to look for the core from now on. */
    void seeds(List<InetSocketAddress> now) {
        seeds = now;
    }

    boolean isLed() {
        return leader != null;
    }

    /** How long no leader has been known. */
    double leaderlessFor() {
        return leader != null
                        && loop.now() < leader.heardAt + settings.heartbeatInterval * SILENT / 2
                ? 0
                : loop.now() - lastLed;
    }

    /** Tells the leader; false where there is none. */
    boolean tellLeader(Object word) {
        if (leader == null) {
            return false;
        }
        leader.frames.send(coder.write(word));
        return true;
    }

    private void look() {
        double now = loop.now();
        if (leader != null) {
            lastLed = Math.max(lastLed, leader.heardAt);
        }
        Set<String> wanted = new LinkedHashSet<>(members);
        if (leader == null) {
            seeds.forEach(a -> wanted.add(a.getAddress().getHostAddress()));
        }
        for (String ip : wanted) {
            Link l = links.computeIfAbsent(ip, Link::new);
            if (l.frames == null && now >= l.triedAt + AGAIN * settings.heartbeatInterval) {
                open(l, now);
            }
        }
        for (Link l : List.copyOf(links.values())) {
            if (l.up && now > l.heardAt + SILENT * settings.heartbeatInterval) {
                l.frames.close();
            } else if (!wanted.contains(l.ip) && leader != null && l != leader) {
                if (l.frames != null) {
                    l.frames.close();
                }
                links.remove(l.ip);
            }
        }
        loop.schedule(AGAIN * settings.heartbeatInterval, this::look);
    }

    private void open(Link l, double now) {
        l.triedAt = now;
        try {
            l.frames =
                    Frames.open(
                            loop,
                            new InetSocketAddress(l.ip, settings.internalPort),
                            CONNECT * settings.heartbeatInterval,
                            this);
        } catch (IOException e) {
            LOG.warn("core.link_failed to={} why=\"{}\"", l.ip, e.getMessage());
        }
    }

    private void beat() {
        byte[] hello = coder.write(new Messages.Heartbeat(settings.ip));
        links.values().stream().filter(l -> l.up).forEach(l -> l.frames.send(hello));
        loop.schedule(BEAT * settings.heartbeatInterval, this::beat);
    }

    private Link of(Frames frames) {
        for (Link l : links.values()) {
            if (l.frames == frames) {
                return l;
            }
        }
        return null;
    }

    @Override
    public void up(Frames frames) {
        Link l = of(frames);
        if (l != null) {
            l.up = true;
            LOG.info("core.link_up to={}", l.ip);
            l.heardAt = loop.now();
            frames.send(coder.write(new Messages.Heartbeat(settings.ip)));
        }
    }

    @Override
    public void came(Frames frames, byte[] frame) {
        Link l = of(frames);
        if (l == null) {
            return;
        }
        l.heardAt = loop.now();
        try {
            Object word = coder.read(frame);
            if (word instanceof Messages.LeaderAnnouncement s) {
                announced(l, s);
            } else if (word instanceof Messages.Registered e) {
                registered(l, e);
            } else if (l == leader) {
                words.accept(word);
            }
        } catch (MalformedMessageException e) {
            LOG.warn("core.bad_message from={} why=\"{}\"", l.ip, e.getMessage());
            frames.close();
        }
    }

    /** A member says who leads, in which term. */
    private void announced(Link link, Messages.LeaderAnnouncement said) {
        if (said.term() < term) {
            // What an old leader says of others is old; that it leads no more itself is not.
            if (link == asked && !link.ip.equals(said.leader())) {
                forgetLeader();
            }
            return;
        }
        boolean newer = said.term() > term;
        term = said.term();
        members = new LinkedHashSet<>(said.members());
        if (link.ip.equals(said.leader())) {
            leads(link, newer);
        } else if (link == asked) {
            // It leads no more; the next leader tells us itself.
            forgetLeader();
        } else if (newer && asked != null && !said.leader().isEmpty()) {
            // Guards against a leader that was deposed and does not know it: what it still grants
            // may be another's by now.
            forgetLeader();
        }
    }

    /** This member leads: a registration is said once on a link, and again on a new link only. */
    private void leads(Link link, boolean newer) {
        if (link == asked && !newer && leader == link) {
            return;
        }
        if (!link.unanswered) {
            forgetLeader();
            register(link);
        } else if (newer || loop.now() > askedAt + AGAIN * settings.heartbeatInterval) {
            // Guards the counts of slots: an answer to the first registration would be taken for
            // one to the second, with grants between them that only one side counts.
            link.frames.close();
        }
    }

    private void register(Link link) {
        asked = link;
        askedAt = loop.now();
        link.unanswered = true;
        LOG.info("core.registering at={} term={}", link.ip, term);
        link.frames.send(coder.write(enrol.get()));
    }

    private void registered(Link link, Messages.Registered answer) {
        link.unanswered = false;
        if (link == asked && answer.term() >= term) {
            leader = link;
            LOG.info("core.registered by={} term={}", link.ip, answer.term());
            words.accept(answer);
        }
    }

    private void forgetLeader() {
        leader = null;
        asked = null;
    }

    @Override
    public void closed(Frames frames) {
        Link l = of(frames);
        if (l == null) {
            return;
        }
        if (l.up) {
            LOG.info("core.link_closed to={}", l.ip);
        }
        l.frames = null;
        l.up = false;
        l.unanswered = false;
        if (l == leader || l == asked) {
            forgetLeader();
        }
    }
}
