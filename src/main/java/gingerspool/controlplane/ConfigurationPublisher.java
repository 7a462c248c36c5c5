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

        private Subscription(String name, InternalEndpoint.Link link, long acknowledgedVersion) {
            this.name = name;
            this.link = link;
            this.acknowledgedVersion = acknowledgedVersion;
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
    ConfigurationPublisher(EventLoop loop, double heartbeatInterval, double applyTimeout) {
        this.loop = loop;
        this.heartbeatInterval = heartbeatInterval;
        batchDelay = BATCH_DELAY_FRACTION * applyTimeout;
    }

    /** A version took effect here; schedulers are told at once, or when the pause is over. */
    void onConfigurationChanged(Configuration configuration) {
        history.add(configuration);
        messagesByBase.clear();
        if (subscriptions.isEmpty() || isPublishScheduled) {
            return;
        }
        double delay = lastPublishedAt + batchDelay - loop.now();
        if (delay <= 0) {
            publish();
        } else {
            isPublishScheduled = true;
            loop.schedule(
                    delay,
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
    Subscription subscribe(String name, InternalEndpoint.Link link, long activeVersion) {
        Subscription subscription = new Subscription(name, link, activeVersion);
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
    void onAcknowledgement(Subscription subscription, Messages.ConfigurationAck ack) {
        subscription.acknowledgedVersion = Math.max(subscription.acknowledgedVersion, ack.number());
        boolean isPushTimedOut = loop.now() > subscription.lastPushAt + heartbeatInterval;
        boolean isDiverged =
                ack.number() == history.version() && ack.digest() != history.checksum();
        if (ack.number() > 0 && isDiverged && isPushTimedOut) {
            LOG.warn(
                    "scheduler.config_diverged scheduler={} version={}",
                    subscription.name,
                    ack.number());
            push(subscription, completeCopy(true));
        } else {
            if (isPushTimedOut) {
                // Guards against a push that was passed over: nothing else would repeat it.
                subscription.pushedVersion = subscription.acknowledgedVersion;
            }
            if (!isPublishScheduled) {
                pushNewest(subscription);
            }
        }
    }

    /** A scheduler could not apply a delta: it gets a complete copy. */
    void onCopyRequest(Subscription subscription) {
        LOG.warn("scheduler.config_copy_requested scheduler={}", subscription.name);
        push(subscription, messagesByBase.computeIfAbsent(0L, baseVersion -> completeCopy(false)));
    }

    private void pushNewest(Subscription subscription) {
        boolean isUnacknowledged = subscription.pushedVersion > subscription.acknowledgedVersion;
        if (subscription.acknowledgedVersion < history.version() && !isUnacknowledged) {
            push(
                    subscription,
                    messagesByBase.computeIfAbsent(
                            subscription.acknowledgedVersion, this::messageFrom));
        }
    }

    private void push(Subscription subscription, SharedMessage message) {
        subscription.pushedVersion = history.version();
        subscription.lastPushAt = loop.now();
        subscription.link.send(message);
    }

    private SharedMessage messageFrom(long baseVersion) {
        return history.deltaFrom(baseVersion)
                .map(
                        delta ->
                                new SharedMessage(
                                        new Messages.ConfigurationDeltaPush(
                                                baseVersion, history.version(), delta)))
                .orElseGet(() -> completeCopy(false));
    }

    private SharedMessage completeCopy(boolean isRepeat) {
        return new SharedMessage(
                new Messages.ConfigurationPush(history.version(), history.copy(), isRepeat));
    }
}
