package gingerspool.controlplane;

import gingerspool.antientropy.RangeDigests;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The schedulers that this leader has registered, each on one link: what they are told, the
 * configuration above all, and what they tell.
 */
final class SchedulerRegistry {
    private static final Logger LOG = LogManager.getLogger(SchedulerRegistry.class);

    /** What the registry needs of the leader's duties; none where this member doesn't lead. */
    interface Slots {
        void registered(String scheduler, Messages.Register message);

        void received(String scheduler, Object message);

        void lost(String scheduler);
    }

    private static final class Scheduler {
        final String name;
        final InternalEndpoint.Link link;

        /** The newest version that it has in force, and when it was last sent one again. */
        long version;

        double sentAt = Double.NEGATIVE_INFINITY;

        Scheduler(String name, InternalEndpoint.Link link, long version) {
            this.name = name;
            this.link = link;
            this.version = version;
        }
    }

    private final EventLoop loop;
    private final NodeSettings settings;
    private final ConfigurationState state;
    private final Map<InternalEndpoint.Link, Scheduler> byLink = new HashMap<>();
    private final Map<String, Scheduler> byName = new HashMap<>();

    /** Null where this member doesn't lead. */
    private Slots slots;

    /** The configuration as it was last pushed: its number, its digest, and when. */
    private long pushedVersion;

    private long pushedDigest;
    private double pushedAt;

    SchedulerRegistry(EventLoop loop, NodeSettings settings, ConfigurationState state) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
    }

    void lead(Slots duties) {
        slots = duties;
    }

    void leadNoMore() {
        slots = null;
        byLink.clear();
        byName.clear();
    }

    int size() {
        return byName.size();
    }

    List<String> status() {
        return byName.values().stream()
                .map(s -> "scheduler " + s.name + " version " + s.version)
                .toList();
    }

    /** Only where this member leads. */
    void register(InternalEndpoint.Link link, Messages.Register message, long term) {
        Scheduler scheduler = new Scheduler(message.name(), link, message.version());
        byLink.put(link, scheduler);
        Scheduler earlier = byName.put(message.name(), scheduler);
        // Guards the counts of slots: what still comes on an earlier link was told before this.
        if (earlier != null && earlier.link != link) {
            byLink.remove(earlier.link);
        }
        link.send(new Messages.Registered(term));
        slots.registered(message.name(), message);
        push(scheduler, message.version(), false);
        tellCount();
    }

    /** A message of a scheduler; one that isn't registered on this link is passed over. */
    void received(InternalEndpoint.Link link, Object message) {
        Scheduler scheduler = byLink.get(link);
        if (scheduler == null || slots == null) {
            return;
        }
        if (message instanceof Messages.ConfigurationAck ack) {
            acknowledged(scheduler, ack);
        } else {
            slots.received(scheduler.name, message);
        }
    }

    void closed(InternalEndpoint.Link link) {
        Scheduler scheduler = byLink.remove(link);
        if (scheduler != null && byName.remove(scheduler.name, scheduler) && slots != null) {
            slots.lost(scheduler.name);
            tellCount();
        }
    }

    void tell(String name, Object message) {
        Scheduler scheduler = byName.get(name);
        if (scheduler != null) {
            scheduler.link.send(message);
        }
    }

    void tellAll(Object message) {
        byName.values().forEach(s -> s.link.send(message));
    }

    private void tellCount() {
        tellAll(new Messages.SchedulerCount(byName.size()));
    }

    // ---- Configuration ----

    /** The configuration has changed. */
    void configured() {
        byte[] form = state.configuration().toByteArray();
        pushedDigest = RangeDigests.digest(form);
        pushedVersion = state.version();
        pushedAt = loop.now();
        if (slots != null) {
            tellAll(new Messages.ConfigurationPush(pushedVersion, form, false));
        }
    }

    private void push(Scheduler to, long has, boolean again) {
        byte[] form = state.configuration().toByteArray();
        // Guards schedulers, which never go back: a copy that is not what was taken is told to
        // nobody.
        if (pushedVersion > has && RangeDigests.digest(form) == pushedDigest) {
            to.sentAt = loop.now();
            to.link.send(new Messages.ConfigurationPush(pushedVersion, form, again));
        }
    }

    /** Counts the acknowledgement; a copy that differs from ours under its number is sent again. */
    private void acknowledged(Scheduler from, Messages.ConfigurationAck ack) {
        from.version = Math.max(from.version, ack.number());
        boolean differs = ack.number() == pushedVersion && ack.digest() != pushedDigest;
        if (ack.number() > 0 && differs && loop.now() > from.sentAt + settings.heartbeatInterval) {
            LOG.warn("scheduler.config_diverged scheduler={} version={}", from.name, ack.number());
            push(from, 0, true);
        } else if (ack.number() < pushedVersion
                && loop.now() > pushedAt + settings.heartbeatInterval) {
            push(from, ack.number(), false);
        }
    }
}
