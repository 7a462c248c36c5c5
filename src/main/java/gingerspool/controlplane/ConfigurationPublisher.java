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
 * Pushes the configuration to the schedulers registered with this leader: as a delta from the
 * version that a scheduler has in force, or as a complete copy if the scheduler asks for one or its
 * version is not in the history.
 *
 * <p>Invariants: a scheduler has at most one unacknowledged push, so the data queued on its link is
 * bounded by one complete copy, whose bytes are shared by all links. Versions committed in the
 * meantime are combined into one delta that is sent after the acknowledgement. Changes in quick
 * succession are batched, see {@link #BATCH_DELAY_FRACTION}. Used by {@link SchedulerRegistry} on
 * the event loop. Times are in milliseconds.
 */
final class ConfigurationPublisher {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationPublisher.class);

    /**
     * Minimum time between two batches of pushes, as a fraction of the time within which a change
     * must be in force everywhere. Bounds the load that a burst of changes puts on schedulers and
     * links.
     */
    private static final double BATCH_DELAY_FRACTION = 1.0 / 16;

    /** A scheduler that receives the configuration, on one link. */
    static final class Subscription {
        private final String name;
        private final InternalEndpoint.Link link;

        /** The newest version that the scheduler has acknowledged as in force. */
        private long acknowledgedVersion;

        /**
         * The version of the last push; unacknowledged while it is higher than the acknowledged
         * version.
         */
        private long pushedVersion;

        private double lastPushAt = Double.NEGATIVE_INFINITY;

        private Subscription(String name, InternalEndpoint.Link link, long acknowledgedVersion) {
            this.name = name;
            this.link = link;
            this.acknowledgedVersion = acknowledgedVersion;
        }

        /** The newest version that the scheduler has acknowledged as in force. */
        long acknowledgedVersion() {
            return acknowledgedVersion;
        }
    }

    private final EventLoop loop;
    private final double heartbeatInterval;
    private final double batchDelay;
    private final ConfigurationHistory history = new ConfigurationHistory();
    private final Set<Subscription> subscriptions = new LinkedHashSet<>();

    /**
     * The encoded pushes of the newest version, by the base version of their delta; 0 stands for
     * the complete copy.
     */
    private final Map<Long, SharedMessage> messagesByBase = new HashMap<>();

    private double lastPublishedAt = Double.NEGATIVE_INFINITY;
    private boolean isPublishScheduled;

    /** The apply timeout is the time within which a change must be in force everywhere. */
    ConfigurationPublisher(EventLoop loop, double heartbeatInterval, double applyTimeout) {
        this.loop = loop;
        this.heartbeatInterval = heartbeatInterval;
        batchDelay = BATCH_DELAY_FRACTION * applyTimeout;
    }

    /**
     * Called when a version has been applied on this member. Pushes it at once, or when the batch
     * delay after the last push is over.
     */
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

    /**
     * Adds a scheduler that has this version in force, and pushes the newest version if that is
     * higher.
     */
    Subscription subscribe(String name, InternalEndpoint.Link link, long activeVersion) {
        Subscription subscription = new Subscription(name, link, activeVersion);
        subscriptions.add(subscription);
        pushNewest(subscription);
        return subscription;
    }

    void unsubscribe(Subscription subscription) {
        subscriptions.remove(subscription);
    }

    /** Drops all subscriptions, as this member no longer leads. */
    void clear() {
        subscriptions.clear();
    }

    /**
     * Handles a scheduler's report of the version that it has in force and the checksum of its
     * copy.
     */
    void onAcknowledgement(Subscription subscription, Messages.ConfigurationAck ack) {
        subscription.acknowledgedVersion = Math.max(subscription.acknowledgedVersion, ack.number());
        boolean isLastPushOld = loop.now() > subscription.lastPushAt + heartbeatInterval;
        boolean isDiverged =
                ack.number() == history.version() && ack.digest() != history.checksum();
        if (ack.number() > 0 && isDiverged && isLastPushOld) {
            LOG.warn(
                    "scheduler.config_diverged scheduler={} version={}",
                    subscription.name,
                    ack.number());
            push(subscription, completeCopy(true));
        } else {
            if (isLastPushOld) {
                // Guards against a push that the scheduler ignored: nothing else would repeat it.
                subscription.pushedVersion = subscription.acknowledgedVersion;
            }
            if (!isPublishScheduled) {
                pushNewest(subscription);
            }
        }
    }

    /** Sends a complete copy to a scheduler that could not apply a delta. */
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
