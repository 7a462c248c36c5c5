package gingerspool.controlplane;

import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The schedulers that this leader has registered, each on one link: what they are told, the
 * configuration above all, and what they tell.
 */
final class SchedulerRegistry {
    /** What the registry needs of the leader's duties; none where this member doesn't lead. */
    interface SchedulerListener {
        void onRegistered(String scheduler, Messages.Register message);

        void onMessage(String scheduler, Object message);

        void onDisconnected(String scheduler);
    }

    private record Scheduler(
            String name,
            InternalEndpoint.Link link,
            ConfigurationPublisher.Subscription subscription) {}

    private final ConfigurationState state;
    private final ConfigurationPublisher publisher;
    private final Map<InternalEndpoint.Link, Scheduler> byLink = new HashMap<>();
    private final Map<String, Scheduler> byName = new HashMap<>();

    /** Null where this member doesn't lead. */
    private SchedulerListener schedulerListener;

    SchedulerRegistry(EventLoop loop, NodeSettings settings, ConfigurationState state) {
        this.state = state;
        publisher =
                new ConfigurationPublisher(
                        loop, settings.heartbeatInterval, settings.configurationApplyTimeout);
    }

    void startLeading(SchedulerListener listener) {
        schedulerListener = listener;
    }

    void stopLeading() {
        schedulerListener = null;
        byLink.clear();
        byName.clear();
        publisher.clear();
    }

    int size() {
        return byName.size();
    }

    List<String> status() {
        return byName.values().stream()
                .map(
                        scheduler ->
                                "scheduler "
                                        + scheduler.name
                                        + " version "
                                        + scheduler.subscription.acknowledgedVersion())
                .toList();
    }

    /** Only where this member leads. */
    void register(InternalEndpoint.Link link, Messages.Register message, long term) {
        Scheduler previous = byName.remove(message.name());
        if (previous != null) {
            // Guards the counts of slots: what still comes on an earlier link was told before this.
            byLink.remove(previous.link);
            publisher.unsubscribe(previous.subscription);
        }
        link.send(new Messages.Registered(term));
        Scheduler scheduler =
                new Scheduler(
                        message.name(),
                        link,
                        publisher.subscribe(message.name(), link, message.version()));
        byLink.put(link, scheduler);
        byName.put(message.name(), scheduler);
        schedulerListener.onRegistered(message.name(), message);
        sendSchedulerCount();
    }

    /** A message of a scheduler; one that isn't registered on this link is passed over. */
    void received(InternalEndpoint.Link link, Object message) {
        Scheduler scheduler = byLink.get(link);
        if (scheduler == null || schedulerListener == null) {
            return;
        }
        if (message instanceof Messages.ConfigurationAck ack) {
            publisher.onAcknowledgement(scheduler.subscription, ack);
        } else if (message instanceof Messages.ConfigurationRequest) {
            publisher.onCopyRequest(scheduler.subscription);
        } else {
            schedulerListener.onMessage(scheduler.name, message);
        }
    }

    void closed(InternalEndpoint.Link link) {
        Scheduler scheduler = byLink.remove(link);
        if (scheduler == null) {
            return;
        }
        publisher.unsubscribe(scheduler.subscription);
        if (byName.remove(scheduler.name, scheduler) && schedulerListener != null) {
            schedulerListener.onDisconnected(scheduler.name);
            sendSchedulerCount();
        }
    }

    void send(String name, Object message) {
        Scheduler scheduler = byName.get(name);
        if (scheduler != null) {
            scheduler.link.send(message);
        }
    }

    void sendToAll(Object message) {
        byName.values().forEach(scheduler -> scheduler.link.send(message));
    }

    private void sendSchedulerCount() {
        sendToAll(new Messages.SchedulerCount(byName.size()));
    }

    /** The configuration has changed. */
    void onConfigurationChanged() {
        publisher.onConfigurationChanged(state.configuration());
    }
}
