package gingerspool.controlplane;

import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The schedulers registered with this member while it leads, each on one link. Sends them the
 * configuration and the messages of the leader's duties, and passes on what they send. Runs on the
 * event loop of its {@link ControlNode}.
 */
final class SchedulerRegistry {
    /**
     * Receives the schedulers' events while this member leads; implemented by {@link LeaderDuties}.
     */
    interface SchedulerListener {
        void onRegistered(String scheduler, Messages.Register message);

        void onMessage(String scheduler, Object message);

        void onDisconnected(String scheduler);
    }

    /** A registered scheduler. */
    private record Scheduler(
            String name,
            InternalEndpoint.Link link,
            ConfigurationPublisher.Subscription subscription) {}

    private final ConfigurationState state;
    private final ConfigurationPublisher publisher;
    private final Map<InternalEndpoint.Link, Scheduler> byLink = new HashMap<>();
    private final Map<String, Scheduler> byName = new HashMap<>();

    /** Null if this member does not lead. */
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

    /** Registers a scheduler on this link. Must be called only while this member leads. */
    void register(InternalEndpoint.Link link, Messages.Register message, long term) {
        Scheduler previous = byName.remove(message.name());
        if (previous != null) {
            // Guards against wrong slot counts: messages that still arrive on the earlier link were
            // sent before this registration.
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

    /** Handles a scheduler's message; ignored if no scheduler is registered on this link. */
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

    /** Called after the configuration has changed. */
    void onConfigurationChanged() {
        publisher.onConfigurationChanged(state.configuration());
    }
}
