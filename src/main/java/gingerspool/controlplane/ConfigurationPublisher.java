package gingerspool.controlplane;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.ConfigurationHistory;
import gingerspool.wire.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the schedulers of this leader the configuration: as a delta from the version that each has
 * in force, or as a complete copy where it asks for one or its version is not known here.
 *
 * <p>Invariants: a scheduler has one push unacknowledged at the most, so what waits in its link is
 * bounded by one copy, and that copy's bytes are shared by all links; versions that come meanwhile
 * are told together, by one delta, after the acknowledgement. Changes in quick succession are told
 * at a pace of {@link #GATHER_PART}. Runs on the loop. Times are milliseconds.
 */
final class ConfigurationPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationPublisher.class);

    /**
     * Changes are gathered for this part of the time in which they must be in force everywhere,
     * counted from the last push: it bounds what a storm of changes costs schedulers and links.
     */
    private static final double BATCH_DELAY_FRACTION = 1.0 / 16;

    /** A scheduler that is told the configuration, on one link. */
    static final class Subscription {
        private final String name;
        private final InternalEndpoint.Link link;

        /** The newest version that it has said to have in force. */
        private long acknowledgedVersion;

        /** The version last pushed; unacknowledged while it is above the one in force. */
        private long pushedVersion;

        private double lastPushAt = Double.NEGATIVE_INFINITY;

        private Subscription(String name, InternalEndpoint.Link link, long inForce) {
            this.name = name;
            this.link = link;
            this.acknowledgedVersion = inForce;
        }

        /** The newest version that it has said to have in force. */
        long acknowledgedVersion() {
            return acknowledgedVersion;
        }
    }

    private final EventLoop loop;
    private final double heartbeatInterval;
    private final double batchDelay;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final Set<Subscription> subscriptions = new LinkedHashSet<>();

    /** The newest version as it is sent, by the version that it is a delta to; 0: complete. */
    private final Map<Long, SharedMessage> messagesByBase = new HashMap<>();

    private double lastPublishedAt = Double.NEGATIVE_INFINITY;
    private boolean isPublishScheduled;

    /** Times in milliseconds: the heartbeat interval, and how soon changes must be in force. */
    ConfigurationPublisher(EventLoop loop, double heartbeat, double applyWithin) {
        this.loop = loop;
        this.heartbeatInterval = heartbeat;
        batchDelay = BATCH_DELAY_FRACTION * applyWithin;
    }

    /** A version took effect here; schedulers are told at once, or when the pause is over. */
    void onConfigurationChanged(Configuration configuration) {
        history.add(configuration);
        messagesByBase.clear();
        if (subscriptions.isEmpty() || isPublishScheduled) {
            return;
        }
        double wait = lastPublishedAt + batchDelay - loop.now();
        if (wait <= 0) {
            publish();
        } else {
            isPublishScheduled = true;
            loop.schedule(
                    wait,
                    () -> {
                        isPublishScheduled = false;
                        publish();
                    });
        }
    }

    private void publish() {
        lastPublishedAt = loop.now();
        List.copyOf(subscriptions).forEach(this::pushNewest);
    }

    /** A scheduler registered, with this version in force. */
    Subscription subscribe(String name, InternalEndpoint.Link link, long version) {
        Subscription subscription = new Subscription(name, link, version);
        subscriptions.add(subscription);
        pushNewest(subscription);
        return subscription;
    }

    void unsubscribe(Subscription subscription) {
        subscriptions.remove(subscription);
    }

    /** This member leads no more: it tells nobody. */
    void clear() {
        subscriptions.clear();
    }

    /** A scheduler says what it has in force, and the checksum of its copy. */
    void onAcknowledgement(Subscription from, Messages.ConfigurationAck ack) {
        from.acknowledgedVersion = Math.max(from.acknowledgedVersion, ack.number());
        boolean isQuiet = loop.now() > from.lastPushAt + heartbeatInterval;
        boolean differs = ack.number() == history.version() && ack.digest() != history.checksum();
        if (ack.number() > 0 && differs && isQuiet) {
            LOG.warn("scheduler.config_diverged scheduler={} version={}", from.name, ack.number());
            push(from, completeCopy(true));
        } else {
            if (isQuiet) {
                // Guards against a push that was passed over: nothing else would repeat it.
                from.pushedVersion = from.acknowledgedVersion;
            }
            if (!isPublishScheduled) {
                pushNewest(from);
            }
        }
    }

    /** A scheduler could not apply a delta: it gets a complete copy. */
    void onCopyRequest(Subscription from) {
        LOG.warn("scheduler.config_copy_requested scheduler={}", from.name);
        push(from, messagesByBase.computeIfAbsent(0L, version -> completeCopy(false)));
    }

    private void pushNewest(Subscription to) {
        boolean isUnacknowledged = to.pushedVersion > to.acknowledgedVersion;
        if (to.acknowledgedVersion < history.version() && !isUnacknowledged) {
            push(to, messagesByBase.computeIfAbsent(to.acknowledgedVersion, this::messageFrom));
        }
    }

    private void push(Subscription to, SharedMessage message) {
        to.pushedVersion = history.version();
        to.lastPushAt = loop.now();
        to.link.send(message);
    }

    private SharedMessage messageFrom(long version) {
        return history.deltaFrom(version)
                .map(
                        delta ->
                                new SharedMessage(
                                        new Messages.ConfigurationDeltaPush(
                                                version, history.version(), delta)))
                .orElseGet(() -> completeCopy(false));
    }

    private SharedMessage completeCopy(boolean again) {
        return new SharedMessage(
                new Messages.ConfigurationPush(history.version(), history.copy(), again));
    }
}
