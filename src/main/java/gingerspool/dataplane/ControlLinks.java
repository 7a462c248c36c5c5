package gingerspool.dataplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.settings.Settings;
import gingerspool.wire.Frames;
import gingerspool.wire.Turns;
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

    private final Turns turns;
    private final Settings settings;
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
    private long view;
    private double lastLed;

    private static final class Link {
        final String ip;
        Frames frames;
        boolean up;
        double heardAt;
        double triedAt = Double.NEGATIVE_INFINITY;

        Link(String ip) {
            this.ip = ip;
        }
    }

    /** The enrolment is made anew for each leader; words are those of the leader. */
    ControlLinks(
            Turns turns,
            Settings settings,
            Supplier<Messages.Register> enrol,
            Consumer<Object> words) {
        this.turns = turns;
        this.settings = settings;
        this.enrol = enrol;
        this.words = words;
        seeds = settings.seeds;
        lastLed = turns.now();
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
    double leaderless() {
        return leader != null && turns.now() < leader.heardAt + settings.beat * SILENT / 2
                ? 0
                : turns.now() - lastLed;
    }

    /** Tells the leader; false where there is none. */
    boolean say(Object word) {
        if (leader == null) {
            return false;
        }
        leader.frames.send(coder.write(word));
        return true;
    }

    private void look() {
        double now = turns.now();
        if (leader != null) {
            lastLed = Math.max(lastLed, leader.heardAt);
        }
        Set<String> wanted = new LinkedHashSet<>(members);
        if (leader == null) {
            seeds.forEach(a -> wanted.add(a.getAddress().getHostAddress()));
        }
        for (String ip : wanted) {
            Link l = links.computeIfAbsent(ip, Link::new);
            if (l.frames == null && now >= l.triedAt + AGAIN * settings.beat) {
                open(l, now);
            }
        }
        for (Link l : List.copyOf(links.values())) {
            if (l.up && now > l.heardAt + SILENT * settings.beat) {
                l.frames.close();
            } else if (!wanted.contains(l.ip) && leader != null && l != leader) {
                if (l.frames != null) {
                    l.frames.close();
                }
                links.remove(l.ip);
            }
        }
        turns.after(AGAIN * settings.beat, this::look);
    }

    private void open(Link l, double now) {
        l.triedAt = now;
        try {
            l.frames =
                    Frames.open(
                            turns,
                            new InetSocketAddress(l.ip, settings.innerPort),
                            CONNECT * settings.beat,
                            this);
        } catch (IOException e) {
            LOG.warn("core.link_failed to={} why=\"{}\"", l.ip, e.getMessage());
        }
    }

    private void beat() {
        byte[] hello = coder.write(new Messages.Heartbeat(settings.ip));
        links.values().stream().filter(l -> l.up).forEach(l -> l.frames.send(hello));
        turns.after(BEAT * settings.beat, this::beat);
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
            l.heardAt = turns.now();
            frames.send(coder.write(new Messages.Heartbeat(settings.ip)));
        }
    }

    @Override
    public void came(Frames frames, byte[] frame) {
        Link l = of(frames);
        if (l == null) {
            return;
        }
        l.heardAt = turns.now();
        try {
            Object word = coder.read(frame);
            if (word instanceof Messages.LeaderAnnouncement s) {
                standing(l, s);
            } else if (word instanceof Messages.Registered e && l == asked) {
                if (leader != l) {
                    leader = l;
                    LOG.info("core.led by={} view={}", l.ip, e.term());
                }
                words.accept(word);
            } else if (l == leader || l == asked) {
                words.accept(word);
            }
        } catch (MalformedMessageException e) {
            LOG.warn("core.bad_word from={} why=\"{}\"", l.ip, e.getMessage());
            frames.close();
        }
    }

    private void standing(Link l, Messages.LeaderAnnouncement s) {
        if (s.term() < view) {
            // What an old leader says of others is old; that it leads no more itself is not.
            if (l == asked && !l.ip.equals(s.leader())) {
                leader = null;
                asked = null;
            }
            return;
        }
        members = new LinkedHashSet<>(s.members());
        boolean leads = l.ip.equals(s.leader());
        // Guards against an enrolment that came while the lease had lapsed: unanswered, it is said
        // again.
        boolean unanswered = leader != l && turns.now() > askedAt + AGAIN * settings.beat;
        if (leads && (l != asked || s.term() > view || unanswered)) {
            leader = null;
            asked = l;
            askedAt = turns.now();
            LOG.info("core.enrols at={} view={}", l.ip, s.term());
            l.frames.send(coder.write(enrol.get()));
        } else if (!leads && l == asked) {
            // It leads no more; the next leader tells us itself.
            leader = null;
            asked = null;
        }
        view = s.term();
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
        if (l == leader || l == asked) {
            leader = null;
            asked = null;
        }
    }
}
